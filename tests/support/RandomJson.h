#pragma once

#include <nlohmann/json.hpp>

namespace lentiljunction::tests {

/// Draws a JSON value of any kind, inside a rapidcheck property.
///
/// @param depth how deep arrays and objects may nest
nlohmann::json generateJson(int depth);

/// Replaces, damages or removes fields of a document anywhere, inside a rapidcheck property.
nlohmann::json corruptJson(nlohmann::json document);

} // namespace lentiljunction::tests
