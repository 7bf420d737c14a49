#pragma once

#include "lentiljunction/core/Clock.h"

#include <cstdint>
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

/// The longest duration in a message, over a hundred years. Keeps the arithmetic with times in range.
constexpr std::int64_t longestMessageDuration = std::int64_t(1) << 52;

/// @returns a whole number
/// @throws std::out_of_range when the value is no whole number from 0 to the limit
std::uint64_t getNumber(const nlohmann::json& value, std::uint64_t limit);

/// @returns a number of microseconds, which may be negative
/// @throws std::out_of_range when the value is no whole number, or longer than any message holds
Duration getDuration(const nlohmann::json& value);

/// @returns a port
/// @throws std::out_of_range when the value is no whole number from 1 to 65535
std::uint16_t getPort(const nlohmann::json& value);

/// Encodes a document as JSON.
///
/// Unlike nlohmann::json::dump() it throws for no document: bytes that are not UTF-8 are replaced by U+FFFD.
///
/// @param indent the number of spaces per level; the text is one line when it is negative
std::string toJsonText(const nlohmann::json& document, int indent = -1);

} // namespace lentiljunction
