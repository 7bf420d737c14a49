#pragma once

#include <cstddef>

namespace lentiljunction {

/// Decides how many of the file descriptors of a process callers may hold, so that the store, the other instances, the
/// upstreams and the pages for operators always find free ones.
///
/// Thread-safe, because it does not change.
class DescriptorBudget {
public:
    /// @param limit the file descriptors that the process may open
    explicit DescriptorBudget(std::size_t limit)
        : limit(limit)
    {
    }

    /// @returns the number of caller sessions that may be open at the same time
    std::size_t getMaximumSessions() const;

    /// @param numSessions the caller sessions that are open
    /// @returns whether another one may be opened
    bool mayOpenSession(std::size_t numSessions) const { return numSessions < this->getMaximumSessions(); }

private:
    std::size_t limit;
};

} // namespace lentiljunction
