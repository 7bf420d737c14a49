#pragma once

#include "Command.h"

#include <memory>

namespace lentiljunction {

/// @returns the command `route`, which asks a gateway instance where a statement would go
std::unique_ptr<Command> makeRouteCommand();

} // namespace lentiljunction
