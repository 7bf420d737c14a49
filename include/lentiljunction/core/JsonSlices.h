#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lentiljunction {

/// Finds the parts of a JSON text without decoding them, so that a part that cannot be decoded does not hide the others.
///
/// Only brackets, commas and quotation marks are interpreted; a part may hold bytes that are no JSON. The views point into
/// the text.
///
/// @code
/// std::optional<std::vector<std::string_view>> elements = splitJsonArray(text);
/// for (std::string_view element : *elements)
///     nlohmann::json decoded = parseJson(element);
/// @endcode
///
/// @returns the elements of an array, or nothing when the text is not an array
std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text);

/// @returns the values of an object by name, the last one of a repeated name, or nothing when the text is not an object. A
/// name with an escape sequence that cannot be decoded is left out
/// @see splitJsonArray()
std::optional<std::map<std::string, std::string_view>> splitJsonObject(std::string_view text);

/// The parts of a JSON text up to the first one whose end cannot be found.
template <typename Parts>
struct JsonPrefix {
    Parts parts;
    /// Whether the text has no other parts. Otherwise the last one, if any, extends to the end of the text, or bytes follow
    /// it that belong to none.
    bool isComplete = false;
};

/// Like splitJsonArray(), for a text whose brackets or quotation marks may not match.
JsonPrefix<std::vector<std::string_view>> splitJsonArrayPrefix(std::string_view text);

/// Like splitJsonObject(), for a text whose brackets or quotation marks may not match.
JsonPrefix<std::map<std::string, std::string_view>> splitJsonObjectPrefix(std::string_view text);

/// @param quoted a text with its quotation marks
/// @returns the text, whose bytes need not be UTF-8, or nothing when it cannot be decoded
std::optional<std::string> decodeJsonText(std::string_view quoted);

} // namespace lentiljunction
