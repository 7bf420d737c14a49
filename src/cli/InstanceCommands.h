#pragma once

#include "../gateway/GatewayAdapter.h"
#include "Command.h"

#include <memory>

namespace lentiljunction {

/// @param adapter provides the protocol and the store for gateway instances; must outlive the commands
/// @returns the commands `serve`, `check`, `status` and `version`
std::vector<std::unique_ptr<Command>> makeInstanceCommands(const GatewayAdapter& adapter);

} // namespace lentiljunction
