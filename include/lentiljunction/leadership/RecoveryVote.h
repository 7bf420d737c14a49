#pragma once

#include "lentiljunction/core/Clock.h"

#include <cstddef>

namespace lentiljunction {

/// How long after the votes for a takeover its write may still take effect: the store may execute a call seconds after it
/// was abandoned.
constexpr std::chrono::seconds takeoverWriteLifetime { 10 };

/// Decides whether the last known coordinator may continue its primary record in a new era of the store at once.
///
/// Only the coordinator changes the record of a failover, and another instance becomes the coordinator only with the votes
/// of a majority. So if a majority has not voted since long before this instance last read itself as the coordinator, then
/// no failover is missing from its record.
///
/// Not thread-safe.
///
/// @see TakeoverVote
class RecoveryVote {
public:
    /// @param numInstances the number of active instances, this one included
    /// @param sinceConfirmed time since this instance sent the read that last showed it as the coordinator
    RecoveryVote(std::size_t numInstances, Duration sinceConfirmed)
        : numInstances(numInstances)
        , sinceConfirmed(sinceConfirmed)
    {
    }

    /// Counts the response of another instance, or of this one.
    ///
    /// @param sinceVote time since the instance last voted on a takeover, or since it started
    /// @param knowsNewerRecord whether it knows a newer record than this instance
    /// @param sinceRequested time since the request was sent, by which `sinceVote` may be out of date
    void addResponse(Duration sinceVote, bool knowsNewerRecord, Duration sinceRequested)
    {
        this->numResponses++;
        if (knowsNewerRecord || sinceVote < this->sinceConfirmed + sinceRequested + takeoverWriteLifetime)
            this->hasDissent = true;
    }

    /// @returns whether no other instance can have become the coordinator
    bool isWon() const { return !this->hasDissent && 2 * this->numResponses > this->numInstances; }

private:
    std::size_t numInstances;
    Duration sinceConfirmed;
    std::size_t numResponses = 0;
    bool hasDissent = false;
};

} // namespace lentiljunction
