#include "ConnectionQueue.h"

#include "lentiljunction/core/ProcessEnd.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <utility>

namespace lentiljunction {

namespace {

    /// Minimum share of an upstream for a rank while more urgent ranks overload it, in percent.
    constexpr int normalFloorPercent = 10;
    constexpr int backgroundFloorPercent = 5;
    /// Target wait of each rank's queue. Long enough to have no effect: the deadlines of the requests limit the wait.
    constexpr std::chrono::milliseconds unboundedTarget { 60000 };

    std::array<RankConfig, numRanks> makeRanks()
    {
        return { RankConfig { unboundedTarget, 0 }, RankConfig { unboundedTarget, normalFloorPercent }, RankConfig { unboundedTarget, backgroundFloorPercent } };
    }

    constexpr double goldenRatio = 0.6180339887;

} // namespace

std::shared_ptr<const WorkspaceWeights> makeWorkspaceWeights(const std::optional<WorkspaceTable>& workspaces)
{
    if (!workspaces)
        return nullptr;
    double largest = 0;
    for (const std::pair<const WorkspaceId, WorkspaceConfig>& entry : workspaces->getAll()) {
        if (entry.second.hasLimit())
            largest = std::max(largest, entry.second.ratePerSecond);
    }
    std::shared_ptr<WorkspaceWeights> weights = std::make_shared<WorkspaceWeights>();
    for (const std::pair<const WorkspaceId, WorkspaceConfig>& entry : workspaces->getAll())
        (*weights)[entry.first] = entry.second.hasLimit() ? entry.second.ratePerSecond : std::max(largest, 1.0);
    return weights;
}

ConnectionQueue::ConnectionQueue()
    : queue(makeRanks())
{
}

void ConnectionQueue::setWorkspaces(std::shared_ptr<const WorkspaceWeights> newer)
{
    this->workspaces = std::move(newer);
    this->queue.setEstimatesByCaller(this->hasWorkspaces());
    this->defaultWeight = 1;
    if (!this->hasWorkspaces() || this->workspaces->empty())
        return;
    double sum = std::accumulate(this->workspaces->begin(), this->workspaces->end(), 0.0, [](double total, const std::pair<const WorkspaceId, double>& entry) { return total + entry.second; });
    this->defaultWeight = sum / static_cast<double>(this->workspaces->size());
}

double ConnectionQueue::findWeight(const WorkspaceId& workspace) const
{
    if (!this->hasWorkspaces())
        return 1;
    WorkspaceWeights::const_iterator found = this->workspaces->find(workspace);
    return found == this->workspaces->end() ? this->defaultWeight : found->second;
}

RankQueue::Request ConnectionQueue::makeQueued(Ticket ticket, const ConnectionSource::Request& request) const
{
    // Only the oldest request of a caller is considered, so those of different workspaces must not queue as one caller.
    CallerId caller = request.workspace.isEmpty() ? request.caller : CallerId(request.workspace.toString());
    return { ticket, request.rank, caller, request.deadline, this->findWeight(request.workspace) };
}

ConnectionSource::Forecast ConnectionQueue::forecast(const ConnectionSource::Request& request, int concurrency, TimePoint now) const
{
    RankQueue copy = this->queue;
    copy.setConcurrency(concurrency);
    RankQueue::Request queued = this->makeQueued(0, request);
    ConnectionSource::Forecast expected { std::nullopt, copy.estimateWait(queued) };
    if (copy.offer(queued, now))
        expected.denial = ConnectionSource::Denial::TooLong;
    return expected;
}

ConnectionQueue::Ticket ConnectionQueue::offer(const ConnectionSource::Request& request, const PooledConnections& connections, Grant& grant, TimePoint now)
{
    Ticket ticket = this->nextTicket++;
    if (this->queue.offer(this->makeQueued(ticket, request), now))
        return 0;
    PooledConnections::Need need { request.workspace, request.acceptsAnyWorkspace };
    this->waiting.emplace(ticket, Waiting { std::move(grant), need, connections.hasIdle(need) });
    return ticket;
}

std::optional<ConnectionQueue::Waiting> ConnectionQueue::takeNext(const PooledConnections& connections, TimePoint now)
{
    std::optional<RankQueue::Request> request = this->queue.takeNext(now, [&](const RankQueue::Request& candidate) { return connections.hasIdle(this->waiting.at(candidate.ticket).need); });
    if (!request)
        return std::nullopt;
    std::unordered_map<Ticket, Waiting>::iterator found = this->waiting.find(request->ticket);
    checkInvariant(found != this->waiting.end(), "a queued ticket has a waiting request");
    Waiting next = std::move(found->second);
    this->waiting.erase(found);
    return next;
}

const ConnectionQueue::Waiting* ConnectionQueue::findFirst(const std::function<bool(const Waiting&)>& filter) const
{
    const RankQueue::Request* found = this->queue.findFirst([&](const RankQueue::Request& candidate) { return !filter || filter(this->waiting.at(candidate.ticket)); });
    return found == nullptr ? nullptr : &this->waiting.at(found->ticket);
}

void ConnectionQueue::cancel(Ticket ticket)
{
    if (this->waiting.erase(ticket) > 0)
        this->queue.remove(ticket);
}

std::vector<ConnectionQueue::Grant> ConnectionQueue::takeExpired(TimePoint now)
{
    std::vector<Grant> expired;
    for (const RankQueue::Request& request : this->queue.takeExpired(now)) {
        std::unordered_map<Ticket, Waiting>::iterator found = this->waiting.find(request.ticket);
        if (found == this->waiting.end())
            continue;
        expired.push_back(std::move(found->second.grant));
        this->waiting.erase(found);
    }
    return expired;
}

std::vector<ConnectionQueue::Grant> ConnectionQueue::takeAll()
{
    std::vector<Grant> all;
    for (std::pair<const Ticket, Waiting>& entry : this->waiting) {
        this->queue.remove(entry.first);
        all.push_back(std::move(entry.second.grant));
    }
    this->waiting.clear();
    return all;
}

std::size_t ConnectionQueue::count(const WorkspaceId& workspace) const
{
    return static_cast<std::size_t>(std::count_if(this->waiting.begin(), this->waiting.end(), [&workspace](const std::pair<const Ticket, Waiting>& entry) { return entry.second.need.workspace == workspace; }));
}

Duration ConnectionQueue::getExpectedWait(Rank rank, Duration latency) const
{
    if (!this->hasWorkspaces())
        return Duration(0);
    // Multiples of the golden ratio spread the callers that are refused one after the other evenly over the span.
    double spread = std::fmod(static_cast<double>(this->nextTicket) * goldenRatio, 1.0);
    Duration wait = std::max(this->queue.estimateWait(rank), latency);
    return wait + Duration(static_cast<Duration::rep>(static_cast<double>(wait.count()) * spread));
}

} // namespace lentiljunction
