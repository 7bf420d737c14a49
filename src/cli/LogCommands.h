#pragma once

#include "Command.h"

#include <memory>

namespace lentiljunction {

/// @returns the commands `explain` and `report`
std::vector<std::unique_ptr<Command>> makeLogCommands();

} // namespace lentiljunction
