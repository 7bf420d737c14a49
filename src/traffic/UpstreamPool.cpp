#include "UpstreamPool.h"

#include "TcpUpstreamConnection.h"
#include "lentiljunction/core/HandlerGuard.h"
#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/core/ProcessEnd.h"
#include "lentiljunction/core/ScopedFlag.h"
#include "lentiljunction/lending/LendingPlan.h"

#include <algorithm>
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
    /// An upstream has one slot for a connection that is being opened for each this many slots, for all workspaces of
    /// an instance.
    constexpr int slotsPerOpening = 2;

} // namespace

UpstreamPool::UpstreamPool(const Dependencies& dependencies, UpstreamEntry upstream)
    : dependencies(dependencies)
    , upstream(std::move(upstream))
    , concurrency(std::make_unique<SharedConcurrencyLimit>(this->upstream.slots))
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

void UpstreamPool::setIdleShare(std::size_t number)
{
    this->share = number;
    // An instance that is no longer a lender may get no more requests, whose end closes surplus connections.
    if (this->connections.size() > this->share)
        this->surplusTimer.setTimeIfEarlier(this->dependencies.clock.now() + this->getSurplusIdleTimeout());
}

UpstreamPool::Ticket UpstreamPool::acquire(const Request& request, Grant grant)
{
    TimePoint now = this->dependencies.clock.now();
    this->probeIfDue();
    if (this->isClosed || (this->hasFailedToOpen && !this->connections.hasIdle({ request.workspace, request.acceptsAnyWorkspace }))) {
        grant(nullptr, Denial::Unreachable);
        return 0;
    }
    this->queue.setConcurrency(this->concurrency->getLimit());
    grant = this->rememberKind(request, std::move(grant));
    Ticket ticket = this->queue.offer(request, this->connections, grant, now);
    if (ticket == 0) {
        grant(nullptr, Denial::TooLong);
        return 0;
    }
    this->grantWaiting();
    if (!this->queue.contains(ticket))
        return 0;
    this->setQueueTimer();
    return ticket;
}

std::optional<ConnectionSource::Forecast> UpstreamPool::forecast(const Request& request) const
{
    if (this->isClosed || (this->hasFailedToOpen && !this->connections.hasIdle({ request.workspace, request.acceptsAnyWorkspace })))
        return Forecast { Denial::Unreachable, Duration(0) };
    return this->queue.forecast(request, this->concurrency->getLimit(), this->dependencies.clock.now());
}

UpstreamPool::Grant UpstreamPool::rememberKind(const Request& request, Grant grant)
{
    std::optional<StatementClass> kind = !request.acceptsAnyWorkspace ? std::optional<StatementClass>({ request.rank, request.mode == AccessMode::Write }) : std::nullopt;
    return [this, kind, grant = std::move(grant)](StatementConnection* connection, Denial denial) {
        if (connection != nullptr)
            this->connections.find(connection)->kind = kind;
        // In what state a handler that threw left the connection is not known.
        if (!HandlerGuard::run("grant", [&] { grant(connection, denial); }) && connection != nullptr)
            this->discard(connection);
    };
}

void UpstreamPool::release(StatementConnection* connection)
{
    PooledConnection* pooled = this->connections.find(connection);
    if (pooled == nullptr)
        return;
    if (pooled->isLost)
        return this->discard(connection);
    this->finishActive(*pooled);
    pooled->isIdle = true;
    pooled->since = this->dependencies.clock.now();
    if (this->connections.size() > this->share)
        this->surplusTimer.setTimeIfEarlier(pooled->since + this->getSurplusIdleTimeout());
    this->grantWaiting();
}

void UpstreamPool::discard(StatementConnection* connection)
{
    PooledConnection* pooled = this->connections.find(connection);
    if (pooled == nullptr)
        return;
    if (pooled->isActive)
        this->numActive--;
    this->remove(connection);
    this->grantWaiting();
}

void UpstreamPool::activate(StatementConnection* connection)
{
    PooledConnection* pooled = this->connections.find(connection);
    checkInvariant(pooled != nullptr && !pooled->isIdle, "a statement begins on a connection that was granted");
    if (pooled->isActive)
        return;
    pooled->isActive = true;
    pooled->since = this->dependencies.clock.now();
    this->numActive++;
}

void UpstreamPool::deactivate(StatementConnection* connection)
{
    PooledConnection* pooled = this->connections.find(connection);
    if (pooled == nullptr)
        return;
    this->finishActive(*pooled);
    this->grantWaiting();
}

void UpstreamPool::openConnection(const WorkspaceId& workspace)
{
    if (this->isClosed || this->connections.size() >= this->connectionLimit)
        return;
    PooledConnection pooled;
    pooled.workspace = workspace;
    pooled.since = this->dependencies.clock.now();
    UpstreamConnection::Listener& listener = *this;
    std::string user = workspace.isEmpty() ? this->dependencies.self.toString() : workspace.toString();
    if (this->dependencies.connector != nullptr)
        pooled.connection = this->dependencies.connector->open(this->upstream, user, openTimeout, listener);
    else
        pooled.connection = std::make_unique<TcpUpstreamConnection>(this->dependencies.loop, this->dependencies.clock, this->dependencies.protocol, this->upstream, user, openTimeout, listener, this->dependencies.replyMemory);
    this->numOpening++;
    this->counters.numOpened++;
    this->connections.add(std::move(pooled));
    this->idleController.onConnectionCount(this->connections.size(), this->dependencies.clock.now());
}

void UpstreamPool::closeUnresponsiveIdle(Duration timeout)
{
    for (UpstreamConnection* connection : this->connections.listUnanswered(this->dependencies.clock.now() - timeout)) {
        if (this->connections.find(connection)->isIdle)
            this->remove(connection);
    }
}

void UpstreamPool::failUnresponsive()
{
    // The pending callbacks run without a reply, and their owners discard the connection.
    for (UpstreamConnection* connection : this->connections.listUnanswered(this->dependencies.clock.now() - answerTimeout))
        connection->failAsSilent();
}

void UpstreamPool::probeIfDue()
{
    if (this->hasFailedToOpen && this->numOpening == 0 && this->dependencies.clock.now() >= this->probeAt)
        this->openConnection();
}

void UpstreamPool::onConnectionReady(UpstreamConnection& connection)
{
    PooledConnection* pooled = this->connections.find(&connection);
    checkInvariant(pooled != nullptr, "a connection of the pool has been opened");
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
    PooledConnection* pooled = this->connections.find(&connection);
    if (pooled == nullptr)
        return;
    bool wasIdle = pooled->isIdle;
    bool wasOpening = pooled->isOpening;
    // The session that holds the connection discards it if its pending callbacks ran without a reply. Without any, as in an idle
    // transaction or during a verification, it may give the connection back.
    pooled->isLost = true;
    if (!wasIdle && !wasOpening)
        return;

    this->remove(&connection);
    if (wasIdle)
        return;
    this->numOpening--;
    TimePoint now = this->dependencies.clock.now();
    if (cause == UpstreamConnection::LossCause::Full)
        return this->onUpstreamFull();
    this->backoff = std::clamp<Duration>(this->backoff * 2, firstBackoff, longestBackoff);
    this->hasFailedToOpen = true;
    this->probeAt = now + this->backoff;
    logEvent(events::upstreamUnreachable, "upstream=" + this->upstream.id.toString() + " group=" + this->upstream.group.toString() + " reason=\"" + reason + "\" again_in_ms=" + std::to_string(this->backoff.count() / 1000));
    this->denyAll(Denial::Unreachable);
    this->dependencies.listener.onUpstreamUnreachable(this->upstream, cause);
}

void UpstreamPool::onUpstreamFull()
{
    // Requests wait until this instance releases a connection or another instance closes one.
    this->fullUntil = this->dependencies.clock.now() + fullBackoff;
    logEvent(events::upstreamFull, "upstream=" + this->upstream.id.toString() + " connections=" + std::to_string(this->connections.size()) + " share=" + std::to_string(this->share) + " waiting=" + std::to_string(this->getNumWaiting()) + " held_on_average=" + std::to_string(this->idleController.getAverage()) + " idle_span_ms=" + std::to_string(this->idleController.getIdleTimeout().count() / 1000));
    // The connections of other workspaces that are not needed now would otherwise keep this instance from opening one.
    const ConnectionQueue::Waiting* next = this->queue.findFirst(nullptr);
    PooledConnection* unneeded = !this->queue.hasWorkspaces() || next == nullptr ? nullptr : this->findReplaceable(next->need.workspace, false);
    if (unneeded != nullptr)
        this->remove(unneeded->connection.get());
    this->setQueueTimer();
}

void UpstreamPool::remove(const StatementConnection* connection)
{
    // The connection may be on the call stack, so it is destroyed later.
    std::shared_ptr<UpstreamConnection> retired = this->connections.take(connection);
    if (retired == nullptr)
        return;
    retired->close();
    this->idleController.onConnectionCount(this->connections.size(), this->dependencies.clock.now());
    this->dependencies.loop.post([retired] {});
}

void UpstreamPool::finishActive(PooledConnection& pooled)
{
    if (!pooled.isActive)
        return;
    TimePoint now = this->dependencies.clock.now();
    Duration taken = std::chrono::duration_cast<Duration>(now - pooled.since);
    ConcurrencyPolicy::Answer answer { taken, std::nullopt, Duration(0), pooled.kind, this->numActive };
    std::optional<UpstreamConnection::Answered> last = pooled.connection->getLastAnswered();
    if (last && last->sentAt >= pooled.since) {
        answer.sentAt = last->sentAt;
        answer.answerTime = last->took;
    }
    this->concurrency->onAnswer(answer);
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
    ScopedFlag granting(this->isGranting);
    while (!this->queue.isEmpty() && this->numActive < this->concurrency->getLimit()) {
        this->openIfNeeded();
        if (!this->connections.hasIdle({ WorkspaceId(), true }))
            break;
        std::optional<ConnectionQueue::Waiting> next = this->queue.takeNext(this->connections, this->dependencies.clock.now());
        if (!next)
            break;
        PooledConnection* pooled = this->connections.findIdle(next->need);
        pooled->isIdle = false;
        pooled->isActive = true;
        pooled->since = this->dependencies.clock.now();
        this->numActive++;
        this->counters.numGrants++;
        this->counters.numGrantsOfIdle += next->foundIdle ? 1 : 0;
        next->grant(pooled->connection.get(), Denial::TooLong);
    }
}

void UpstreamPool::openIfNeeded()
{
    bool hasNoRoom = !this->queue.hasWorkspaces() && this->connections.size() >= this->connectionLimit;
    if (hasNoRoom || this->hasFailedToOpen || this->dependencies.clock.now() < this->fullUntil)
        return;
    const ConnectionQueue::Waiting* request = this->queue.findFirst([this](const ConnectionQueue::Waiting& candidate) { return this->mustOpenFor(candidate.need); });
    if (request == nullptr)
        return;
    // The next request of the queue may take a connection whose workspace has requests waiting behind it.
    bool isNext = request == this->queue.findFirst(nullptr);
    if (this->makeRoomFor(request->need.workspace, isNext))
        this->openConnection(request->need.workspace);
}

bool UpstreamPool::mustOpenFor(const PooledConnections::Need& need) const
{
    if (this->connections.hasIdle(need))
        return false;
    if (need.acceptsAnyWorkspace || !this->queue.hasWorkspaces())
        return this->numOpening < this->queue.size();
    return this->mayOpenMore(need.workspace);
}

bool UpstreamPool::mayOpenMore(const WorkspaceId& workspace) const
{
    // Opening occupies a slot for longer than most statements.
    if (this->numOpening >= static_cast<std::size_t>(std::max(1, this->upstream.slots / slotsPerOpening)))
        return false;
    // A connection that is being opened or on which a statement runs is available sooner than one more.
    std::size_t numExpected = this->countExpected(workspace);
    if (numExpected == 0)
        return true;
    // More connections for a workspace than statements may run would only take those of the others.
    return this->queue.count(workspace) > numExpected && this->numActive + static_cast<int>(this->numOpening) < this->concurrency->getLimit();
}

bool UpstreamPool::makeRoomFor(const WorkspaceId& workspace, bool isNext)
{
    bool hasRoom = this->connections.size() < this->connectionLimit;
    if (!this->queue.hasWorkspaces() || (hasRoom && this->connections.size() < this->share))
        return hasRoom;
    // A workspace under load would otherwise close the connections of the others, which then open theirs again.
    if (this->countExpected(workspace) >= std::max<std::size_t>(1, this->share / 2))
        return false;
    PooledConnection* replaced = this->findReplaceable(workspace, false);
    if (replaced == nullptr && !hasRoom && isNext)
        replaced = this->findReplaceable(workspace, true);
    if (replaced == nullptr)
        return hasRoom;
    this->remove(replaced->connection.get());
    this->counters.numReplaced++;
    return true;
}

std::size_t UpstreamPool::countExpected(const WorkspaceId& workspace) const
{
    return this->connections.count(workspace, [](const PooledConnection& pooled) { return pooled.isOpening || pooled.isActive; });
}

UpstreamPool::PooledConnection* UpstreamPool::findReplaceable(const WorkspaceId& newcomer, bool includesWanted)
{
    return this->connections.findLongestIdle([&](const WorkspaceId& workspace) { return workspace == newcomer || (!includesWanted && this->queue.count(workspace) > 0); });
}

void UpstreamPool::denyAll(Denial denial)
{
    for (const Grant& grant : this->queue.takeAll())
        grant(nullptr, denial);
}

void UpstreamPool::denyExpired()
{
    for (const Grant& grant : this->queue.takeExpired(this->dependencies.clock.now()))
        grant(nullptr, Denial::TooLong);
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
    // Which connections are left decides which workspaces find one.
    if (this->queue.hasWorkspaces())
        this->connections.sortByAge();
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
