#pragma once

#include <string>

namespace lentiljunction {

/// Waits until a settings file is valid and ends with a line break. The platform may still be writing it when the process
/// starts.
///
/// Waits at most two seconds; a file that is not valid by then is to be reported. The signals of getServeSignals() must be
/// blocked. SIGHUP leads to an attempt at once.
///
/// @param path the INI file of a gateway instance or of one that serves the product's own protocols
/// @returns false when the process was asked to stop meanwhile
bool waitForSettings(const std::string& path);

} // namespace lentiljunction
