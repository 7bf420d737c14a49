#include "MemoryRelief.h"

#include "lentiljunction/core/LogEvents.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// While running statements hold the memory that callers may hold.
    constexpr std::chrono::milliseconds retryInterval { 20 };

} // namespace

MemoryRelief::MemoryRelief(EventLoop& loop, MemoryAccount& account, SessionList listSessions)
    : loop(loop)
    , account(account)
    , listSessions(std::move(listSessions))
{
}

void MemoryRelief::closeLater()
{
    if (!std::exchange(this->isScheduled, true))
        this->loop.post([this] { this->closeLargest(); });
}

void MemoryRelief::closeLargest()
{
    std::vector<std::pair<std::size_t, CallerSession*>> bySize;
    for (CallerSession* session : this->listSessions())
        bySize.emplace_back(session->updateMemory(), session);
    std::sort(bySize.rbegin(), bySize.rend());
    std::size_t numHeld = this->account.getTotal();
    std::size_t numClosed = 0;
    // A session that has ended is destroyed by a later task.
    for (const std::pair<std::size_t, CallerSession*>& entry : bySize) {
        if (!this->account.mustCloseSessions())
            break;
        if (!entry.second->isRunning()) {
            entry.second->closeForMemory();
            numClosed++;
        }
    }
    if (numClosed > 0)
        logEvent(events::sessionRefused, "reason=\"the sessions hold too much memory\" held=" + std::to_string(numHeld) + " limit=" + std::to_string(this->account.getBudget().getMaximum()) + " sessions=" + std::to_string(bySize.size()) + " closed=" + std::to_string(numClosed));
    this->isScheduled = this->account.mustCloseSessions();
    if (this->isScheduled)
        this->loop.schedule(retryInterval, [this] { this->closeLargest(); });
}

} // namespace lentiljunction
