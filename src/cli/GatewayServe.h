#pragma once

#include "../gateway/GatewayAdapter.h"

#include <string>

namespace lentiljunction {

/// Runs a gateway instance until it is told to stop.
///
/// SIGTERM and SIGINT drain it; SIGHUP reads the settings again.
///
/// @param path the INI file
/// @returns an exit code of exitcodes
int serveGateway(const std::string& path, const GatewayAdapter& adapter);

} // namespace lentiljunction
