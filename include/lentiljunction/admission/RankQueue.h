#pragma once

#include "lentiljunction/bundle/Bundle.h"
#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"
#include "lentiljunction/core/Outcome.h"
#include "lentiljunction/core/Rank.h"

#include <array>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <vector>

namespace lentiljunction {

/// The queue in front of one upstream.
///
/// The most urgent rank goes first. Below that strict order, each other rank earns credit for its
/// floor with every start while it waits, so a flood of urgent work does not starve it. Within a
/// rank, callers take turns. The queue is bounded by time: a request whose wait would pass its
/// rank's target or its own deadline is refused before it waits.
///
/// Not thread-safe; one traffic thread owns it.
///
/// @code
/// RankQueue queue(bundle->ranks);
/// std::optional<Outcome> refusal = queue.offer({ ticket, Rank::Normal, caller, deadline }, clock.now());
/// @endcode
class RankQueue {
public:
    /// Names a queued request.
    using Ticket = std::uint64_t;

    /// A request that waits.
    struct Request {
        Ticket ticket = 0;
        Rank rank = Rank::Normal;
        CallerId caller;
        TimePoint deadline;
    };

    /// @param ranks the targets and floors in force
    explicit RankQueue(const std::array<RankConfig, numRanks>& ranks);

    /// Takes targets and floors of a newer bundle.
    void setRanks(const std::array<RankConfig, numRanks>& ranks) { this->ranks = ranks; }

    /// @param concurrency how many requests run at one time, at least 1
    void setConcurrency(int concurrency) { this->concurrency = concurrency; }

    /// Admits a request or refuses it at once.
    ///
    /// @returns nothing when the request waits now, or the refusal
    std::optional<Outcome> offer(const Request& request, TimePoint now);

    /// @returns the next request to start, or nothing when none waits
    std::optional<Request> takeNext(TimePoint now);

    /// @returns the requests whose deadline passed while they waited, removed from the queue
    std::vector<Request> takeExpired(TimePoint now);

    /// Removes a request, for example when its caller left.
    ///
    /// @returns whether it was waiting
    bool remove(Ticket ticket);

    /// @param serviceTime how long a request ran
    void onFinished(Duration serviceTime);

    /// @returns how long a request of this rank would wait if it came now
    Duration estimateWait(Rank rank) const;

    /// @returns the number of waiting requests of a rank
    std::size_t getNumWaiting(Rank rank) const;

    /// @returns whether nothing waits
    bool isEmpty() const;

private:
    struct CallerLine {
        CallerId caller;
        std::deque<Request> requests;
    };

    struct Lane {
        std::list<CallerLine> lines;
        std::size_t numWaiting = 0;
        /// Starts this rank has earned by its floor.
        double credit = 0;
        /// The share of recent starts while the rank waited.
        double share = 1;
    };

    std::optional<Rank> chooseRank();
    void updateShares(Rank started);
    static Request takeFromLane(Lane& lane);

    std::array<RankConfig, numRanks> ranks;
    std::array<Lane, numRanks> lanes;
    int concurrency = 1;
    Duration meanServiceTime;
};

} // namespace lentiljunction
