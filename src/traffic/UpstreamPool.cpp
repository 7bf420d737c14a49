#include "UpstreamPool.h"

#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/lending/LendingPlan.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace lentiljunction {

namespace {

    /// An upstream answers the startup message within a few tens of milliseconds.
    constexpr std::chrono::milliseconds openTimeout { 300 };
    /// Applies to the proxy's own commands, whose replies may be lost as well; statements have their own
    /// deadlines.
    constexpr std::chrono::milliseconds answerTimeout { 2500 };
    /// The backoff after a failed connection attempt starts with the first value and doubles up to the longest.
    constexpr std::chrono::milliseconds firstBackoff { 100 };
    constexpr std::chrono::milliseconds longestBackoff { 800 };
    /// The pause after an upstream reported its connection limit, about as long as other instances keep surplus
    /// connections.
    constexpr std::chrono::milliseconds fullBackoff { 100 };
    /// Idle timeout of connections beyond the share of the instance.
    constexpr std::chrono::milliseconds surplusIdleTimeout { 500 };
    /// Fraction of an upstream's connections that all instances together hold on average when there are more
    /// instances than connections. The other half is for load peaks, starting instances and failover checks.
    constexpr double averageShare = 0.5;
    /// How often waiting requests are checked for expired deadlines.
    constexpr std::chrono::milliseconds expiryInterval { 25 };
    /// Connections reserved for the checks of the failover coordinator.
    constexpr int reservedConnections = 1;
    /// Minimum share of an upstream for a rank while more urgent ranks overload it, in percent.
    constexpr int normalFloorPercent = 10;
    constexpr int backgroundFloorPercent = 5;
    /// Target wait of each rank's queue. Long enough to have no effect: the deadlines of the requests limit the wait.
    constexpr std::chrono::milliseconds unboundedTarget { 60000 };

    std::array<RankConfig, numRanks> makeRanks()
    {
        return { RankConfig { unboundedTarget, 0 }, RankConfig { unboundedTarget, normalFloorPercent }, RankConfig { unboundedTarget, backgroundFloorPercent } };
    }

} // namespace

UpstreamPool::UpstreamPool(const Dependencies& dependencies, UpstreamEntry upstream)
    : dependencies(dependencies)
    , upstream(std::move(upstream))
    , queue(makeRanks())
    , concurrency(this->upstream.slots)
    , queueTimer(dependencies.loop, dependencies.clock, [this] { this->denyExpired(); })
    , surplusTimer(dependencies.loop, dependencies.clock, [this] { this->closeSurplus(); })
{
}

UpstreamPool::~UpstreamPool()
{
    this->isClosed = true;
    for (PooledConnection& pooled : this->connections)
        pooled.connection->close();
}

void UpstreamPool::setShare(int maximumConnections, std::size_t numUsers)
{
    this->connectionLimit = static_cast<std::size_t>(std::max(1, maximumConnections - reservedConnections));
    std::size_t users = std::max<std::size_t>(1, numUsers);
    this->share = computeConnectionShare(this->connectionLimit, users);
    this->idleController.setTarget(averageShare * static_cast<double>(this->connectionLimit) / static_cast<double>(users));
}

UpstreamPool::Ticket UpstreamPool::acquire(const Request& request, Grant grant)
{
    TimePoint now = this->dependencies.clock.now();
    this->probeIfDue();
    if (this->isClosed || (this->hasFailedToOpen && this->findIdlePooled() == nullptr)) {
        grant(nullptr, Denial::Unreachable);
        return 0;
    }
    this->queue.setConcurrency(this->concurrency.getLimit());
    Ticket ticket = this->nextTicket++;
    if (this->queue.offer({ ticket, request.rank, request.caller, request.deadline }, now)) {
        grant(nullptr, Denial::TooLong);
        return 0;
    }
    this->grants.emplace(ticket, std::move(grant));
    this->grantWaiting();
    if (this->grants.count(ticket) == 0)
        return 0;
    this->setQueueTimer();
    return ticket;
}

std::optional<ConnectionSource::Forecast> UpstreamPool::forecast(const Request& request) const
{
    if (this->isClosed || (this->hasFailedToOpen && this->findIdle() == nullptr))
        return Forecast { Denial::Unreachable, Duration(0) };
    RankQueue copy = this->queue;
    copy.setConcurrency(this->concurrency.getLimit());
    Forecast expected { std::nullopt, copy.estimateWait(request.rank) };
    if (copy.offer({ 0, request.rank, request.caller, request.deadline }, this->dependencies.clock.now()))
        expected.denial = Denial::TooLong;
    return expected;
}

void UpstreamPool::cancelAcquire(Ticket ticket)
{
    if (this->grants.erase(ticket) > 0)
        this->queue.remove(ticket);
}

void UpstreamPool::release(StatementConnection* connection)
{
    PooledConnection* pooled = this->find(connection);
    if (pooled == nullptr)
        return;
    this->finishActive(*pooled);
    pooled->isIdle = true;
    pooled->since = this->dependencies.clock.now();
    if (this->connections.size() > this->share)
        this->surplusTimer.setTimeIfEarlier(pooled->since + this->getSurplusIdleTimeout());
    this->grantWaiting();
}

void UpstreamPool::discard(StatementConnection* connection)
{
    PooledConnection* pooled = this->find(connection);
    if (pooled == nullptr)
        return;
    if (pooled->isActive)
        this->numActive--;
    this->remove(connection);
    this->grantWaiting();
}

void UpstreamPool::activate(StatementConnection* connection)
{
    PooledConnection* pooled = this->find(connection);
    assert(pooled != nullptr && !pooled->isIdle);
    if (pooled->isActive)
        return;
    pooled->isActive = true;
    pooled->since = this->dependencies.clock.now();
    this->numActive++;
}

void UpstreamPool::deactivate(StatementConnection* connection)
{
    PooledConnection* pooled = this->find(connection);
    if (pooled == nullptr)
        return;
    this->finishActive(*pooled);
    this->grantWaiting();
}

UpstreamConnection* UpstreamPool::findIdle() const
{
    for (const PooledConnection& pooled : this->connections) {
        if (pooled.isIdle && pooled.connection->hasNoPendingReply())
            return pooled.connection.get();
    }
    return nullptr;
}

void UpstreamPool::openConnection()
{
    if (this->isClosed || this->connections.size() >= this->connectionLimit)
        return;
    PooledConnection pooled;
    pooled.since = this->dependencies.clock.now();
    UpstreamConnection::Listener& listener = *this;
    pooled.connection = std::make_unique<UpstreamConnection>(this->dependencies.loop, this->dependencies.clock, this->dependencies.protocol, this->upstream, this->dependencies.self, openTimeout, listener);
    this->numOpening++;
    this->connections.push_back(std::move(pooled));
    this->idleController.onConnectionCount(this->connections.size(), this->dependencies.clock.now());
}

void UpstreamPool::closeUnresponsiveIdle(Duration timeout)
{
    TimePoint now = this->dependencies.clock.now();
    for (std::size_t index = 0; index < this->connections.size();) {
        std::optional<TimePoint> since = this->connections[index].connection->getPendingSince();
        if (this->connections[index].isIdle && since && now - *since > timeout)
            this->remove(this->connections[index].connection.get());
        else
            index++;
    }
}

void UpstreamPool::failUnresponsive()
{
    TimePoint now = this->dependencies.clock.now();
    std::vector<UpstreamConnection*> unresponsive;
    for (const PooledConnection& pooled : this->connections) {
        std::optional<TimePoint> since = pooled.connection->getPendingSince();
        if (since && now - *since > answerTimeout)
            unresponsive.push_back(pooled.connection.get());
    }
    // The pending callbacks run without a reply, and their owners discard the connection.
    for (UpstreamConnection* connection : unresponsive)
        connection->failAsSilent();
}

void UpstreamPool::probeIfDue()
{
    if (this->hasFailedToOpen && this->numOpening == 0 && this->dependencies.clock.now() >= this->probeAt)
        this->openConnection();
}

std::size_t UpstreamPool::getNumWaiting() const
{
    std::size_t number = 0;
    for (Rank rank : allRanks)
        number += this->queue.getNumWaiting(rank);
    return number;
}

bool UpstreamPool::isOverdue(Duration timeout) const
{
    TimePoint now = this->dependencies.clock.now();
    return std::any_of(this->connections.begin(), this->connections.end(), [&](const PooledConnection& pooled) {
        std::optional<TimePoint> since = pooled.connection->getPendingSince();
        return since && now - *since > timeout;
    });
}

void UpstreamPool::onConnectionReady(UpstreamConnection& connection)
{
    PooledConnection* pooled = this->find(&connection);
    assert(pooled != nullptr);
    this->numOpening--;
    pooled->isOpening = false;
    this->backoff = Duration(0);
    if (std::exchange(this->hasFailedToOpen, false))
        logEvent(events::upstreamReachable, "upstream=" + this->upstream.id.toString() + " group=" + this->upstream.group.toString());
    pooled->isIdle = true;
    pooled->since = this->dependencies.clock.now();
    if (this->connections.size() > this->share)
        this->surplusTimer.setTimeIfEarlier(pooled->since + this->getSurplusIdleTimeout());
    this->grantWaiting();
}

void UpstreamPool::onConnectionLost(UpstreamConnection& connection, UpstreamConnection::LossCause cause, const std::string& reason)
{
    PooledConnection* pooled = this->find(&connection);
    if (pooled == nullptr)
        return;
    bool wasIdle = pooled->isIdle;
    bool wasOpening = pooled->isOpening;
    // The session that holds the connection discards it: its pending callbacks ran without a reply.
    if (!wasIdle && !wasOpening)
        return;

    this->remove(&connection);
    if (wasIdle)
        return;
    this->numOpening--;
    TimePoint now = this->dependencies.clock.now();
    if (cause == UpstreamConnection::LossCause::Full) {
        // Requests wait until this instance releases a connection or another instance closes one.
        this->fullUntil = now + fullBackoff;
        logEvent(events::upstreamFull, "upstream=" + this->upstream.id.toString() + " connections=" + std::to_string(this->connections.size()) + " share=" + std::to_string(this->share) + " waiting=" + std::to_string(this->getNumWaiting()) + " held_on_average=" + std::to_string(this->idleController.getAverage()) + " idle_span_ms=" + std::to_string(this->idleController.getIdleTimeout().count() / 1000));
        return this->setQueueTimer();
    }
    this->backoff = std::clamp<Duration>(this->backoff * 2, firstBackoff, longestBackoff);
    this->hasFailedToOpen = true;
    this->probeAt = now + this->backoff;
    logEvent(events::upstreamUnreachable, "upstream=" + this->upstream.id.toString() + " group=" + this->upstream.group.toString() + " reason=\"" + reason + "\" again_in_ms=" + std::to_string(this->backoff.count() / 1000));
    this->denyAll(Denial::Unreachable);
    this->dependencies.listener.onUpstreamUnreachable(this->upstream, cause);
}

UpstreamPool::PooledConnection* UpstreamPool::find(const StatementConnection* connection)
{
    std::vector<PooledConnection>::iterator found = std::find_if(this->connections.begin(), this->connections.end(), [connection](const PooledConnection& pooled) { return pooled.connection.get() == connection; });
    return found == this->connections.end() ? nullptr : &*found;
}

UpstreamPool::PooledConnection* UpstreamPool::findIdlePooled()
{
    // The most recently used connection most likely works, and the others can reach their idle timeout.
    PooledConnection* best = nullptr;
    for (PooledConnection& pooled : this->connections) {
        if (pooled.isIdle && pooled.connection->hasNoPendingReply() && (best == nullptr || best->since < pooled.since))
            best = &pooled;
    }
    return best;
}

void UpstreamPool::remove(const StatementConnection* connection)
{
    std::vector<PooledConnection>::iterator found = std::find_if(this->connections.begin(), this->connections.end(), [connection](const PooledConnection& pooled) { return pooled.connection.get() == connection; });
    if (found == this->connections.end())
        return;
    found->connection->close();
    // The connection may be on the call stack, so it is destroyed later.
    std::shared_ptr<UpstreamConnection> retired(std::move(found->connection));
    this->connections.erase(found);
    this->idleController.onConnectionCount(this->connections.size(), this->dependencies.clock.now());
    this->dependencies.loop.post([retired] {});
}

void UpstreamPool::finishActive(PooledConnection& pooled)
{
    if (!pooled.isActive)
        return;
    TimePoint now = this->dependencies.clock.now();
    Duration taken = std::chrono::duration_cast<Duration>(now - pooled.since);
    this->concurrency.onAnswered(taken, this->numActive);
    this->queue.onFinished(taken);
    this->latency.onSample(taken, now);
    pooled.isActive = false;
    this->numActive--;
}

void UpstreamPool::grantWaiting()
{
    // A grant callback may release or acquire a connection and so call this function again; the outer loop continues.
    if (this->isGranting || this->isClosed)
        return;
    this->isGranting = true;
    while (!this->queue.isEmpty() && this->numActive < this->concurrency.getLimit()) {
        PooledConnection* pooled = this->findIdlePooled();
        if (pooled == nullptr) {
            this->openIfNeeded();
            break;
        }
        std::optional<RankQueue::Request> request = this->queue.takeNext(this->dependencies.clock.now());
        std::unordered_map<Ticket, Grant>::iterator found = this->grants.find(request->ticket);
        assert(found != this->grants.end());
        Grant grant = std::move(found->second);
        this->grants.erase(found);
        pooled->isIdle = false;
        pooled->isActive = true;
        pooled->since = this->dependencies.clock.now();
        this->numActive++;
        grant(pooled->connection.get(), Denial::TooLong);
    }
    this->isGranting = false;
}

void UpstreamPool::openIfNeeded()
{
    std::size_t numWaiting = this->grants.size();
    bool isOpeningPaused = this->hasFailedToOpen || this->dependencies.clock.now() < this->fullUntil;
    if (isOpeningPaused || this->numOpening >= numWaiting || this->connections.size() >= this->connectionLimit)
        return;
    this->openConnection();
}

void UpstreamPool::denyAll(Denial denial)
{
    std::unordered_map<Ticket, Grant> denied = std::exchange(this->grants, {});
    for (std::pair<const Ticket, Grant>& entry : denied)
        this->queue.remove(entry.first);
    for (std::pair<const Ticket, Grant>& entry : denied)
        entry.second(nullptr, denial);
}

void UpstreamPool::denyExpired()
{
    for (const RankQueue::Request& request : this->queue.takeExpired(this->dependencies.clock.now())) {
        std::unordered_map<Ticket, Grant>::iterator found = this->grants.find(request.ticket);
        if (found == this->grants.end())
            continue;
        Grant grant = std::move(found->second);
        this->grants.erase(found);
        grant(nullptr, Denial::TooLong);
    }
    this->grantWaiting();
    this->setQueueTimer();
}

Duration UpstreamPool::getSurplusIdleTimeout() const
{
    return this->share > 0 ? Duration(surplusIdleTimeout) : this->idleController.getIdleTimeout();
}

void UpstreamPool::setQueueTimer()
{
    if (!this->queue.isEmpty())
        this->queueTimer.setTimeIfEarlier(this->dependencies.clock.now() + expiryInterval);
}

void UpstreamPool::closeSurplus()
{
    TimePoint now = this->dependencies.clock.now();
    std::optional<TimePoint> next;
    for (std::size_t index = 0; index < this->connections.size() && this->connections.size() > this->share;) {
        const PooledConnection& pooled = this->connections[index];
        if (pooled.isIdle && now - pooled.since >= this->getSurplusIdleTimeout() && pooled.connection->hasNoPendingReply()) {
            this->remove(pooled.connection.get());
            continue;
        }
        if (pooled.isIdle)
            next = std::min(next.value_or(TimePoint::max()), TimePoint(pooled.since + this->getSurplusIdleTimeout()));
        index++;
    }
    if (next && this->connections.size() > this->share)
        this->surplusTimer.setTimeIfEarlier(std::max(*next, now + this->getSurplusIdleTimeout() / 4));
}

} // namespace lentiljunction
