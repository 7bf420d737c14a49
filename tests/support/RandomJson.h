#pragma once

#include <nlohmann/json.hpp>

namespace lentiljunction::tests {

/// Generates a JSON value of any type. Call it inside a rapidcheck property.
///
/// @param depth the maximum nesting of arrays and objects
nlohmann::json generateJson(int depth);

/// Replaces or removes random fields at any depth of a document. Call it inside a rapidcheck property.
nlohmann::json corruptJson(nlohmann::json document);

} // namespace lentiljunction::tests
