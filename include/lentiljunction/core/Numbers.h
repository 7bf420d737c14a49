#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace lentiljunction {

/// Parses an unsigned decimal number.
///
/// @param text 1 to 18 decimal digits
/// @returns the number, or nothing when the text has another form
std::optional<std::uint64_t> parseWholeNumber(const std::string& text);

} // namespace lentiljunction
