#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace lentiljunction {

/// Decodes a CBOR document received from another process.
///
/// Unlike nlohmann::json::from_cbor() it throws for no input, and it does not recurse: that function throws for an array
/// or object whose declared length is excessive, even when exceptions are disabled, and calls itself once a level. Texts
/// may hold any bytes, and tags are not supported.
///
/// @returns the document; a discarded value when the bytes are not one CBOR document or are nested too deeply
/// @see maximumNesting
nlohmann::json parseCbor(const std::string& bytes);

/// @returns the bytes of a document in CBOR
std::string toCbor(const nlohmann::json& document);

} // namespace lentiljunction
