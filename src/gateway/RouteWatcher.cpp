#include "RouteWatcher.h"

#include "lentiljunction/core/LogEvents.h"

#include <utility>

namespace lentiljunction {

namespace {

    constexpr std::chrono::milliseconds firstStoreRetry { 200 };
    constexpr std::chrono::milliseconds longestStoreRetry { 1600 };
    /// A watch is renewed after this time, since its connection may be dead without an error, and a new
    /// configuration must be in force within three seconds.
    constexpr std::chrono::milliseconds watchTimeout { 2000 };
    /// With workspaces a confirmation counts from the start of the watch, since its response may have waited while this
    /// process did not run. Short watches keep that time recent, also at the instances that rely on this one.
    constexpr std::chrono::milliseconds workspacesWatchTimeout { 700 };

    std::string describeVersion(const std::shared_ptr<const RouteTable>& table)
    {
        return table == nullptr ? "none" : std::to_string(table->version.value());
    }

    std::int64_t toMilliseconds(BootClock::duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

} // namespace

RouteWatcher::RouteWatcher(EventLoop& loop, const Clock& clock, FleetStore& store, InstanceId self, Listener& listener)
    : loop(loop)
    , clock(clock)
    , store(store)
    , self(std::move(self))
    , listener(listener)
    , storeRetries(firstStoreRetry, longestStoreRetry)
    , timer(loop, clock, [this] { this->watchUnlessRelayed(); })
    , proofTimer(loop, clock, [this] { this->checkProven(); })
{
}

bool RouteWatcher::onRelayedFreshness(const RouteFreshness& freshness, const Endpoint& reader, BootTime sentAt)
{
    RouteSource source { RouteSource::Kind::OtherInstance, reader };
    if (this->isNewer(freshness, source))
        return true;
    this->relayedFreshness.onFreshness(freshness, sentAt);
    this->keyFreshness.onCurrentAt(*this->relayedFreshness.getConfirmedAt());
    this->recordProof(sentAt - freshness.age, freshness.confirmedTo, source);
    return false;
}

bool RouteWatcher::onPeerFreshness(const RouteFreshness& freshness, const Endpoint& peer, BootTime sentAt)
{
    RouteSource source { RouteSource::Kind::OtherInstance, peer };
    if (this->isNewer(freshness, source))
        return true;
    this->keyFreshness.onCurrentAt(sentAt - freshness.age);
    this->recordProof(sentAt - freshness.age, freshness.confirmedTo, source);
    return false;
}

bool RouteWatcher::isNewer(const RouteFreshness& freshness, const RouteSource& source)
{
    const std::shared_ptr<const RouteTable>& table = this->routes.getTable();
    if (this->proofs.onReported(freshness.version, source, this->clock.bootNow()))
        logEvent(events::routesBehind, "routes_version=" + describeVersion(table) + " newer=" + std::to_string(freshness.version.value()) + " " + describe(source));
    return table == nullptr || freshness.version > table->version;
}

void RouteWatcher::offer(std::shared_ptr<const RouteTable> table, const RouteSource& source)
{
    std::string previous = describeVersion(this->routes.getTable());
    if (!this->routes.offer(table))
        return;
    this->keyFreshness.onTableInForce();
    std::string detail = "routes_version=" + describeVersion(table) + " previous=" + previous + " routes=" + std::to_string(table->routes.size()) + " " + describe(source)
        + " revision=" + std::to_string(this->revision.value()) + " store_era=" + std::to_string(this->era.value());
    if (this->proofs.getNewer())
        detail += " behind_ms=" + std::to_string(toMilliseconds(this->clock.bootNow() - this->proofs.getNewer()->knownSince));
    logEvent(events::routesInForce, detail);
    this->proofs.onTableInForce(table->version);
    this->listener.onRoutesInForce(table);
}

void RouteWatcher::recordProof(BootTime provenAt, const InstanceId& confirmedTo, const RouteSource& source)
{
    this->proofs.onProof({ provenAt, confirmedTo, source });
    this->checkProven();
}

void RouteWatcher::checkProven()
{
    BootTime now = this->clock.bootNow();
    RouteProofTracker::Change change = this->proofs.checkProven(now);
    if (this->proofs.isProven(now))
        this->proofTimer.setTime(this->clock.now() + (this->proofs.getExpiry() - now));
    if (change == RouteProofTracker::Change::None)
        return;
    const RouteProof& proof = *this->proofs.getProof();
    logEvent(change == RouteProofTracker::Change::Lost ? events::routesUnproven : events::routesProven, "routes_version=" + describeVersion(this->routes.getTable()) + " proof_ms=" + std::to_string(toMilliseconds(now - proof.provenAt)) + " confirmed_to=" + proof.confirmedTo.toString() + " " + describe(proof.source) + " revision=" + std::to_string(this->revision.value()) + " store_era=" + std::to_string(this->era.value()) + " call_pending=" + std::to_string(this->isCallPending));
}

std::optional<RouteFreshness> RouteWatcher::getFreshness() const
{
    std::optional<BootTime> newest = this->relayedFreshness.getConfirmedAt();
    if (this->confirmedAt && (!newest || *newest < *this->confirmedAt))
        newest = this->confirmedAt;
    if (this->routes.getTable() == nullptr || !newest)
        return std::nullopt;
    return RouteFreshness { this->routes.getTable()->version, std::chrono::duration_cast<Duration>(this->clock.bootNow() - *newest), this->proofs.getProof()->confirmedTo };
}

void RouteWatcher::read()
{
    this->isCallPending = true;
    BootTime sentAt = this->clock.bootNow();
    this->store.readRoutes([this, sentAt](const std::optional<VersionedRoutes>& versioned, const Failure& failure) {
        if (!versioned)
            return this->retry("read_routes", failure);
        this->confirmedAt = sentAt;
        this->applyRoutes(*versioned, RouteSource::Kind::StoreRead);
        this->onConfirmedByStore(sentAt);
        this->recordProof(sentAt, this->self, { RouteSource::Kind::StoreRead });
        this->onCallFinished();
    });
}

void RouteWatcher::onCallFinished()
{
    this->isCallPending = false;
    this->watchUnlessRelayed();
}

void RouteWatcher::watchUnlessRelayed()
{
    if (this->isCallPending)
        return;
    BootTime now = this->clock.bootNow();
    if (this->relayedFreshness.isFresh(now)) {
        this->isRelyingOnPeer = true;
        this->timer.setTime(this->clock.now() + (*this->relayedFreshness.getExpiry() - now));
        return;
    }
    if (std::exchange(this->isRelyingOnPeer, false))
        return this->read();
    this->isCallPending = true;
    BootTime sentAt = this->clock.bootNow();
    this->store.watchRoutes(this->revision, this->hasWorkspaces() ? workspacesWatchTimeout : watchTimeout, [this, sentAt](const std::optional<VersionedRoutes>& versioned, const Failure& failure) {
        if (!versioned)
            return this->retry("watch_routes", failure);
        if (versioned->era != this->era) {
            logEvent(events::routesPositionLost, "revision=" + std::to_string(this->revision.value()) + " era=" + std::to_string(this->era.value()) + " store_era=" + std::to_string(versioned->era.value()));
            return this->read();
        }
        this->applyRoutes(*versioned, RouteSource::Kind::StoreWatch);
        this->confirmedAt = this->hasWorkspaces() ? sentAt : this->clock.bootNow();
        this->onConfirmedByStore(sentAt);
        this->recordProof(*this->confirmedAt, this->self, { RouteSource::Kind::StoreWatch });
        this->onCallFinished();
    });
}

void RouteWatcher::retry(const std::string& call, const Failure& failure)
{
    logEvent(events::storeCallFailed, "call=" + call + " reason=\"" + failure.reason + "\"");
    // Other instances must not rely on this one while it cannot reach the store.
    this->confirmedAt.reset();
    this->keyFreshness.onStoreFailed(failure.isResponse);
    this->loop.scheduleUntilDone(this->storeRetries.onFailure(), [this] { this->retryUnlessRelayed(); });
}

void RouteWatcher::retryUnlessRelayed()
{
    if (!this->relayedFreshness.isFresh(this->clock.bootNow()))
        return this->read();
    // The next call to the store reads the routes, since the watch may have missed a change.
    this->isRelyingOnPeer = true;
    this->onCallFinished();
}

void RouteWatcher::onConfirmedByStore(BootTime sentAt)
{
    // Called when the response is in force: it shows that no newer configuration existed, not that no other one did.
    this->keyFreshness.onStoreAnswered();
    this->keyFreshness.onCurrentAt(sentAt);
}

void RouteWatcher::applyRoutes(const VersionedRoutes& versioned, RouteSource::Kind kind)
{
    this->storeRetries.onSuccess();
    if (versioned.revision < this->revision)
        logEvent(events::routesPositionLost, "revision=" + std::to_string(this->revision.value()) + " read=" + std::to_string(versioned.revision.value()) + " store_era=" + std::to_string(versioned.era.value()));
    // Responses arrive in the order of the calls, so a lower revision is that of a restored store.
    this->revision = versioned.revision;
    this->era = versioned.era;
    if (versioned.table != nullptr)
        this->offer(versioned.table, { kind });
}

} // namespace lentiljunction
