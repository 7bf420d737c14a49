#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace lentiljunction {

/// The deepest nesting of arrays and objects in a document that is decoded. Copying, comparing and encoding a document
/// recurse once a level, so a deeper one could exceed the stack.
constexpr std::size_t maximumNesting = 64;

/// Decodes a JSON document received from outside the process.
///
/// Throws for no input.
///
/// @returns the document; a discarded value when the text is not one JSON document or is nested too deeply
/// @see parseCbor()
nlohmann::json parseJson(std::string_view text);

/// Encodes a document as JSON.
///
/// Unlike nlohmann::json::dump() it throws for no document: bytes that are not UTF-8 are replaced by U+FFFD.
///
/// @param indent the number of spaces per level; the text is one line when it is negative
std::string toJsonText(const nlohmann::json& document, int indent = -1);

} // namespace lentiljunction
