#include "lentiljunction/core/Json.h"

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

std::string toJsonText(const nlohmann::json& document, int indent)
{
    return document.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace lentiljunction
