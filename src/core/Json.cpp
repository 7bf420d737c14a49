#include "lentiljunction/core/Json.h"

#include <limits>
#include <stdexcept>

namespace lentiljunction {

namespace {

    /// @returns whether arrays and objects are nested more deeply than allowed; the text need not be valid JSON
    bool isNestedTooDeeply(std::string_view text)
    {
        std::size_t depth = 0;
        bool isInString = false;
        for (std::size_t index = 0; index < text.size(); index++) {
            char letter = text[index];
            if (isInString && letter == '\\')
                index++;
            else if (letter == '"')
                isInString = !isInString;
            else if (!isInString && (letter == '[' || letter == '{') && ++depth > maximumNesting)
                return true;
            else if (!isInString && (letter == ']' || letter == '}') && depth > 0)
                depth--;
        }
        return false;
    }

} // namespace

nlohmann::json parseJson(std::string_view text)
{
    if (isNestedTooDeeply(text))
        return nlohmann::json(nlohmann::json::value_t::discarded);
    return nlohmann::json::parse(text.begin(), text.end(), nullptr, false);
}

std::uint64_t getNumber(const nlohmann::json& value, std::uint64_t limit)
{
    bool isNegative = value.is_number_integer() && !value.is_number_unsigned() && value.get<std::int64_t>() < 0;
    if (!value.is_number_integer() || isNegative || value.get<std::uint64_t>() > limit)
        throw std::out_of_range("not a number in range");
    return value.get<std::uint64_t>();
}

Duration getDuration(const nlohmann::json& value)
{
    bool isInRange = value.is_number_unsigned() ? value.get<std::uint64_t>() <= static_cast<std::uint64_t>(longestMessageDuration)
                                                : value.is_number_integer() && value.get<std::int64_t>() <= longestMessageDuration && value.get<std::int64_t>() >= -longestMessageDuration;
    if (!isInRange)
        throw std::out_of_range("not a duration");
    return Duration(value.get<Duration::rep>());
}

std::uint16_t getPort(const nlohmann::json& value)
{
    std::uint64_t port = getNumber(value, std::numeric_limits<std::uint16_t>::max());
    if (port == 0)
        throw std::out_of_range("not a port");
    return static_cast<std::uint16_t>(port);
}

std::string toJsonText(const nlohmann::json& document, int indent)
{
    return document.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace lentiljunction
