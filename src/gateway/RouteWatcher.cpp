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

} // namespace

RouteWatcher::RouteWatcher(EventLoop& loop, const Clock& clock, FleetStore& store, Listener& listener)
    : loop(loop)
    , clock(clock)
    , store(store)
    , listener(listener)
    , storeRetries(firstStoreRetry, longestStoreRetry)
    , timer(loop, clock, [this] { this->watchUnlessRelayed(); })
{
}

bool RouteWatcher::onRelayedFreshness(const RouteFreshness& freshness, BootTime sentAt)
{
    const std::shared_ptr<const RouteTable>& table = this->routes.getTable();
    if (table == nullptr || freshness.version > table->version)
        return true;
    this->relayedFreshness.onFreshness(freshness, sentAt);
    this->keyFreshness.onCurrentAt(*this->relayedFreshness.getConfirmedAt());
    return false;
}

bool RouteWatcher::onPeerFreshness(const RouteFreshness& freshness, BootTime sentAt)
{
    const std::shared_ptr<const RouteTable>& table = this->routes.getTable();
    if (table == nullptr || freshness.version > table->version)
        return true;
    this->keyFreshness.onCurrentAt(sentAt - freshness.age);
    return false;
}

void RouteWatcher::offer(std::shared_ptr<const RouteTable> table)
{
    if (!this->routes.offer(table))
        return;
    this->keyFreshness.onTableInForce();
    logEvent(events::routesInForce, "routes_version=" + std::to_string(table->version.value()) + " routes=" + std::to_string(table->routes.size()));
    this->listener.onRoutesInForce(table);
}

std::optional<RouteFreshness> RouteWatcher::getFreshness() const
{
    std::optional<BootTime> newest = this->relayedFreshness.getConfirmedAt();
    if (this->confirmedAt && (!newest || *newest < *this->confirmedAt))
        newest = this->confirmedAt;
    if (this->routes.getTable() == nullptr || !newest)
        return std::nullopt;
    return RouteFreshness { this->routes.getTable()->version, std::chrono::duration_cast<Duration>(this->clock.bootNow() - *newest) };
}

void RouteWatcher::read()
{
    this->isCallPending = true;
    BootTime sentAt = this->clock.bootNow();
    this->store.readRoutes([this, sentAt](const std::optional<VersionedRoutes>& versioned, const Failure& failure) {
        if (!versioned)
            return this->retry("read_routes", failure);
        this->confirmedAt = sentAt;
        this->applyRoutes(*versioned);
        this->onConfirmedByStore(sentAt);
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
        this->applyRoutes(*versioned);
        this->confirmedAt = this->hasWorkspaces() ? sentAt : this->clock.bootNow();
        this->onConfirmedByStore(sentAt);
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

void RouteWatcher::applyRoutes(const VersionedRoutes& versioned)
{
    this->storeRetries.onSuccess();
    if (versioned.revision < this->revision)
        logEvent(events::routesPositionLost, "revision=" + std::to_string(this->revision.value()) + " read=" + std::to_string(versioned.revision.value()) + " store_era=" + std::to_string(versioned.era.value()));
    // Responses arrive in the order of the calls, so a lower revision is that of a restored store.
    this->revision = versioned.revision;
    this->era = versioned.era;
    if (versioned.table != nullptr)
        this->offer(versioned.table);
}

} // namespace lentiljunction
