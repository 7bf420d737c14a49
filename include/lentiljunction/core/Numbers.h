#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace lentiljunction {

/// @param text decimal digits only, at most 18
/// @returns the number, or nothing
std::optional<std::uint64_t> parseWholeNumber(const std::string& text);

} // namespace lentiljunction
