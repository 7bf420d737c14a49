#pragma once

#include "lentiljunction/bundle/Bundle.h"
#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"
#include "lentiljunction/core/Outcome.h"
#include "lentiljunction/core/Rank.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <vector>

namespace lentiljunction {

/// The queue in front of one upstream.
///
/// Requests start in order of rank, the most urgent first. In addition, each rank with waiting requests
/// earns credit towards its guaranteed share (its floor) with every start, so that a flood of urgent
/// requests does not starve it. Within a rank, callers are served by deficit round-robin: in proportion to
/// their weights, and in plain turns when the weights are equal. The queue is bounded by
/// time: a request whose expected wait exceeds its rank's target or its own deadline is refused at once.
///
/// Not thread-safe; one traffic thread owns it.
///
/// @code
/// RankQueue queue(bundle->ranks);
/// std::optional<Outcome> refusal = queue.offer({ ticket, Rank::Normal, caller, deadline }, clock.now());
/// @endcode
class RankQueue {
public:
    /// Identifies a queued request.
    using Ticket = std::uint64_t;

    /// A waiting request.
    struct Request {
        Ticket ticket = 0;
        Rank rank = Rank::Normal;
        CallerId caller;
        TimePoint deadline;
        /// The caller's share of the starts, in proportion to those of the other waiting callers of the rank.
        double weight = 1;
    };

    /// Decides which of the waiting requests are considered; an empty one stands for all of them.
    using Filter = std::function<bool(const Request&)>;

    /// @param ranks the current targets and floors
    explicit RankQueue(const std::array<RankConfig, numRanks>& ranks);

    /// Applies the targets and floors of a newer bundle.
    void setRanks(const std::array<RankConfig, numRanks>& ranks) { this->ranks = ranks; }

    /// @param concurrency the number of requests that run concurrently, at least 1
    void setConcurrency(int concurrency) { this->concurrency = concurrency; }

    /// Sets whether the expected wait of a request depends on its caller's part of the starts. Otherwise all requests of
    /// the rank count as ahead of it, so that a flood of one caller has those of the others refused.
    void setEstimatesByCaller(bool areByCaller) { this->areEstimatesByCaller = areByCaller; }

    /// Queues a request or refuses it.
    ///
    /// @returns nothing when the request was queued, or the refusal
    std::optional<Outcome> offer(const Request& request, TimePoint now);

    /// @returns the next request to start, or nothing when none waits
    std::optional<Request> takeNext(TimePoint now) { return this->takeNext(now, nullptr); }

    /// @param isReady whether a request can start; only the oldest request of each caller is considered. A caller
    ///     that is passed over keeps its turn.
    /// @returns the next request to start among those that are ready, or nothing
    std::optional<Request> takeNext(TimePoint now, const Filter& isReady);

    /// @param filter decides about the oldest request of each caller
    /// @returns the first matching request by rank and turn, or nullptr; valid until the queue changes
    const Request* findFirst(const Filter& filter) const;

    /// Removes the requests whose deadline expired while they waited.
    ///
    /// @returns the removed requests
    std::vector<Request> takeExpired(TimePoint now);

    /// Removes a request, for example when its caller disconnected.
    ///
    /// @returns whether the request was in the queue
    bool remove(Ticket ticket);

    /// @param serviceTime the execution time of a finished request
    void onFinished(Duration serviceTime);

    /// @returns the expected wait of a request of this rank that arrives now
    Duration estimateWait(Rank rank) const;

    /// @returns the expected wait of a request that arrives now
    Duration estimateWait(const Request& request) const;

    /// @returns the number of waiting requests of a rank
    std::size_t getNumWaiting(Rank rank) const;

    /// @returns whether no request is waiting
    bool isEmpty() const;

private:
    struct CallerQueue {
        CallerId caller;
        std::deque<Request> requests;
        /// Starts that the caller has earned, at most one. A new caller may start at its first turn.
        double credit = 1;
    };

    struct Lane {
        std::list<CallerQueue> callerQueues;
        std::size_t numWaiting = 0;
        /// The number of starts that the rank has earned through its floor.
        double credit = 0;
        /// The moving average of the rank's share of starts while it had waiting requests.
        double share = 1;
    };

    Duration estimateWait(Rank rank, double numAheadInLane) const;
    static double countAhead(const Lane& lane, const Request& request);
    static bool hasReady(const Lane& lane, const Filter& isReady);
    std::optional<Rank> chooseRank(const Filter& isReady);
    void updateShares(Rank started);
    static Request takeFromLane(Lane& lane, const Filter& isReady);

    std::array<RankConfig, numRanks> ranks;
    std::array<Lane, numRanks> lanes;
    int concurrency = 1;
    bool areEstimatesByCaller = false;
    Duration meanServiceTime;
};

} // namespace lentiljunction
