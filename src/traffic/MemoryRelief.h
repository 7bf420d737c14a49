#pragma once

#include "CallerSession.h"

#include <functional>
#include <vector>

namespace lentiljunction {

/// Closes the sessions that hold most memory without running a statement, until the budget of the process holds.
///
/// Not thread-safe; the traffic thread owns it.
///
/// @see MemoryBudget
class MemoryRelief {
public:
    /// Lists the open sessions.
    using SessionList = std::function<std::vector<CallerSession*>()>;

    MemoryRelief(EventLoop& loop, MemoryAccount& account, SessionList listSessions);

    /// Closes sessions after the current task, because one of them may be on the call stack.
    void closeLater();

private:
    void closeLargest();

    EventLoop& loop;
    MemoryAccount& account;
    SessionList listSessions;
    /// Whether closeLargest() is going to run.
    bool isScheduled = false;
};

} // namespace lentiljunction
