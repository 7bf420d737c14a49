#pragma once

#include "../gateway/GatewayAdapter.h"

#include <string>

namespace lentiljunction {

/// Runs a gateway instance until it receives a stop signal.
///
/// SIGTERM and SIGINT drain the instance. SIGHUP reads and checks the settings file again.
///
/// @param path the INI file
/// @param failure set when the instance could not start
/// @returns one of exitcodes
int serveGateway(const std::string& path, const GatewayAdapter& adapter, Failure& failure);

} // namespace lentiljunction
