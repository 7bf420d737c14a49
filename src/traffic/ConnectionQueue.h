#pragma once

#include "ConnectionSource.h"
#include "PooledConnections.h"
#include "lentiljunction/admission/RankQueue.h"
#include "lentiljunction/workspaces/WorkspaceTable.h"

#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace lentiljunction {

/// The weight of each workspace in the queues of the upstreams.
using WorkspaceWeights = std::map<WorkspaceId, double>;

/// @returns the weights of the workspaces, in proportion to their rates; nullptr without workspaces. One without a limit has
///     the weight of the largest.
std::shared_ptr<const WorkspaceWeights> makeWorkspaceWeights(const std::optional<WorkspaceTable>& workspaces);

/// The requests that wait for a connection to one upstream.
///
/// The rank queue orders them. A request whose workspace has no idle connection keeps its turn while others start.
///
/// Decides without sockets and timers. Not thread-safe; the traffic thread owns it.
class ConnectionQueue {
public:
    using Ticket = ConnectionSource::Ticket;
    using Grant = ConnectionSource::Grant;

    /// A waiting request.
    struct Waiting {
        Grant grant;
        PooledConnections::Need need;
        /// An idle connection was there when the request arrived.
        bool foundIdle = false;
    };

    ConnectionQueue();

    /// Sets the workspaces among which the requests share; nullptr when the deployment has none.
    void setWorkspaces(std::shared_ptr<const WorkspaceWeights> newer);

    /// @returns whether connections belong to workspaces
    bool hasWorkspaces() const { return this->workspaces != nullptr; }

    /// @param concurrency the number of statements that run concurrently, at least 1
    void setConcurrency(int concurrency) { this->queue.setConcurrency(concurrency); }

    /// @param serviceTime the execution time of a finished statement
    void onFinished(Duration serviceTime) { this->queue.onFinished(serviceTime); }

    /// Queues a request or refuses it.
    ///
    /// @param grant moved from when the request is queued
    /// @returns the ticket of the request, or zero when its deadline is too short
    Ticket offer(const ConnectionSource::Request& request, const PooledConnections& connections, Grant& grant, TimePoint now);

    /// Predicts what offer() would do.
    ///
    /// @param concurrency the number of statements that run concurrently, at least 1
    ConnectionSource::Forecast forecast(const ConnectionSource::Request& request, int concurrency, TimePoint now) const;

    /// @returns the next request that finds an idle connection, or nothing
    std::optional<Waiting> takeNext(const PooledConnections& connections, TimePoint now);

    /// @param filter decides about the oldest request of each caller; an empty one accepts all
    /// @returns the first matching request by rank and turn, or nullptr; valid until the queue changes
    const Waiting* findFirst(const std::function<bool(const Waiting&)>& filter) const;

    /// @returns whether a request waits
    bool contains(Ticket ticket) const { return this->waiting.count(ticket) > 0; }

    /// Removes a request without calling its callback.
    void cancel(Ticket ticket);

    /// @returns the callbacks of the requests whose deadline expired, which are removed
    std::vector<Grant> takeExpired(TimePoint now);

    /// @returns the callbacks of all requests, which are removed
    std::vector<Grant> takeAll();

    bool isEmpty() const { return this->queue.isEmpty(); }
    std::size_t size() const { return this->waiting.size(); }

    /// @returns the waiting requests of a workspace
    std::size_t count(const WorkspaceId& workspace) const;

    /// @param latency the expected execution time of a statement
    /// @returns how long a request that is refused now should wait before it is repeated; zero without workspaces
    Duration getExpectedWait(Rank rank, Duration latency) const;

private:
    RankQueue::Request makeQueued(Ticket ticket, const ConnectionSource::Request& request) const;
    double findWeight(const WorkspaceId& workspace) const;

    RankQueue queue;
    std::unordered_map<Ticket, Waiting> waiting;
    std::shared_ptr<const WorkspaceWeights> workspaces;
    /// The weight of requests that belong to none of the workspaces.
    double defaultWeight = 1;
    Ticket nextTicket = 1;
};

} // namespace lentiljunction
