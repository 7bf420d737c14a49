#pragma once

#include "Site.h"

#include <string>

namespace lentiljunction::lab {

/// Books a return through one instance, reads it back through another, sends a request for an unknown database,
/// which must be refused, and puts a new bundle in force. Prints every request and response.
///
/// @param binaries folder of the executables
/// @param folder folder for settings and logs
/// @returns whether all steps succeeded
bool runDemo(const std::string& binaries, const std::string& folder);

/// Starts a site, prints its ports and settings, and keeps it running until a line or the end of standard input
/// is read.
///
/// @returns whether the site started
bool serveSite(const SitePlan& site, const std::string& binaries, const std::string& folder);

} // namespace lentiljunction::lab
