#pragma once

#include "Site.h"

#include <string>

namespace lentiljunction::lab {

/// Books a return through one instance, reads it back through another, is refused clearly, and
/// watches a bundle come into force. Prints every response.
///
/// @param binaries the folder with the programs
/// @param folder receives settings and logs
/// @returns whether everything went as it should
bool runDemo(const std::string& binaries, const std::string& folder);

/// Starts a site, prints its ports and settings, and keeps it up until a line or the end of the
/// input comes.
///
/// @returns whether the site started
bool serveSite(const SitePlan& site, const std::string& binaries, const std::string& folder);

} // namespace lentiljunction::lab
