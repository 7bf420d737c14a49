#include "lentiljunction/core/Numbers.h"

#include <cstdlib>

namespace lentiljunction {

std::optional<std::uint64_t> parseWholeNumber(const std::string& text)
{
    constexpr std::size_t maximumDigits = 18;
    bool isNumber = !text.empty() && text.size() <= maximumDigits && text.find_first_not_of("0123456789") == std::string::npos;
    if (!isNumber)
        return std::nullopt;
    return std::strtoull(text.c_str(), nullptr, 10);
}

} // namespace lentiljunction
