#pragma once

#include <chrono>
#include <csignal>
#include <optional>

namespace lentiljunction {

/// @returns the signals that `serve` waits for. They are blocked from the first code of the process on, before constructors of
/// the program and of its libraries run, so that none of them ends a process that is starting.
const sigset_t& getServeSignals();

/// Waits for one of these signals, also while no thread of an event loop runs.
///
/// @param timeout less than a second
/// @returns the signal that came, or nothing after the time
std::optional<int> waitForServeSignal(std::chrono::milliseconds timeout);

} // namespace lentiljunction
