#pragma once

#include <cstddef>

namespace lentiljunction {

/// Decides how many bytes a process may hold for its callers: received, waiting and not yet sent ones.
///
/// Thread-safe, because it does not change.
class MemoryBudget {
public:
    /// @param limit the memory of the process, in bytes
    explicit MemoryBudget(std::size_t limit)
        : limit(limit)
    {
    }

    /// @returns the bytes that may be held in all. The rest is left for the upstreams, for control, and for copies that
    /// exist while a message is decoded.
    std::size_t getMaximum() const { return this->limit / 4; }

    /// @param numHeld the bytes that are held
    /// @param numMore those that a new statement needs
    /// @returns whether the statement may start
    bool mayStart(std::size_t numHeld, std::size_t numMore) const { return numMore <= this->getMaximum() && numHeld <= this->getMaximum() - numMore; }

    /// Sessions are closed before statements have to be refused.
    ///
    /// @returns whether the sessions that hold most without running a statement must be closed
    bool mustCloseSessions(std::size_t numHeld) const { return numHeld > this->getMaximum() - this->getMaximum() / 4; }

private:
    std::size_t limit;
};

} // namespace lentiljunction
