#include "RouteWatcher.h"

#include "lentiljunction/core/LogEvents.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    constexpr std::chrono::milliseconds storeRetryInterval { 200 };
    /// A watch is renewed after this time, since its connection may be dead without an error, and a new
    /// configuration must be in force within three seconds.
    constexpr std::chrono::milliseconds watchTimeout { 2000 };

} // namespace

RouteWatcher::RouteWatcher(EventLoop& loop, const Clock& clock, FleetStore& store, Listener& listener)
    : loop(loop)
    , clock(clock)
    , store(store)
    , listener(listener)
    , timer(loop, clock, [this] { this->check(); })
{
}

bool RouteWatcher::onRelayed(const RouteFreshness& currency, BootTime askedAt)
{
    const std::shared_ptr<const RouteTable>& table = this->routes.getTable();
    if (table == nullptr || currency.version > table->version)
        return true;
    this->trust.onFreshness(currency, askedAt);
    return false;
}

void RouteWatcher::offer(std::shared_ptr<const RouteTable> table)
{
    if (!this->routes.offer(table))
        return;
    logEvent(events::routesInForce, "routes_version=" + std::to_string(table->version.value()) + " routes=" + std::to_string(table->routes.size()));
    this->listener.onRoutesInForce(table);
}

std::optional<RouteFreshness> RouteWatcher::getCurrency() const
{
    std::optional<BootTime> newest = this->trust.getConfirmedAt();
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
    this->store.readRoutes([this, sentAt](const std::optional<VersionedRoutes>& read, const Failure& failure) {
        if (!read)
            return this->retry("read_routes", failure);
        this->confirmedAt = sentAt;
        this->applyRoutes(*read);
        this->watch();
    });
}

void RouteWatcher::watch()
{
    this->isCallPending = false;
    this->check();
}

void RouteWatcher::check()
{
    if (this->isCallPending)
        return;
    BootTime now = this->clock.bootNow();
    if (this->trust.isFresh(now)) {
        this->isRelayed = true;
        this->timer.setTime(this->clock.now() + (*this->trust.getExpiry() - now));
        return;
    }
    if (std::exchange(this->isRelayed, false))
        return this->read();
    this->isCallPending = true;
    this->store.watchRoutes(this->revision, watchTimeout, [this](const std::optional<VersionedRoutes>& read, const Failure& failure) {
        if (!read)
            return this->retry("watch_routes", failure);
        this->confirmedAt = this->clock.bootNow();
        this->applyRoutes(*read);
        this->watch();
    });
}

void RouteWatcher::retry(const std::string& call, const Failure& failure)
{
    logEvent(events::storeCallFailed, "call=" + call + " reason=\"" + failure.reason + "\"");
    // Other instances must not rely on this one while it cannot reach the store.
    this->confirmedAt.reset();
    this->loop.schedule(storeRetryInterval, [this] { this->read(); });
}

void RouteWatcher::applyRoutes(const VersionedRoutes& read)
{
    this->revision = std::max(this->revision, read.revision);
    if (read.table != nullptr)
        this->offer(read.table);
}

} // namespace lentiljunction
