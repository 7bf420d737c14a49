#pragma once

#include "Command.h"

#include <memory>

namespace lentiljunction {

/// @returns the commands `keys create`, `bundle create|approve|roll|status|diff` and `audit`
std::vector<std::unique_ptr<Command>> makeBundleCommands();

} // namespace lentiljunction
