#pragma once

#include "Command.h"

#include <memory>

namespace lentiljunction {

/// @returns the commands serve, check, status and version
std::vector<std::unique_ptr<Command>> makeInstanceCommands();

} // namespace lentiljunction
