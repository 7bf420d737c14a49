#pragma once

#include <csignal>

namespace lentiljunction {

/// @returns the signals that `serve` waits for. They are blocked from the first code of the process on, before constructors of
/// the program and of its libraries run, so that none of them ends a process that is starting.
const sigset_t& getServeSignals();

} // namespace lentiljunction
