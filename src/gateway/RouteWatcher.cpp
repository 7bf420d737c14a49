#include "RouteWatcher.h"

#include "lentiljunction/core/LogEvents.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// After a call to the store failed.
    constexpr std::chrono::milliseconds retryInterval { 200 };
    /// A watch is renewed this often: an open connection may be silent for good, and a new
    /// configuration has three seconds to come into force.
    constexpr std::chrono::milliseconds watchSpan { 2000 };

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
    this->isCallUnderWay = true;
    BootTime sentAt = this->clock.bootNow();
    this->store.readRoutes([this, sentAt](const std::optional<VersionedRoutes>& read, const Failure& failure) {
        if (!read)
            return this->retry("read_routes", failure);
        this->confirmedAt = sentAt;
        this->take(*read);
        this->watch();
    });
}

void RouteWatcher::watch()
{
    this->isCallUnderWay = false;
    this->check();
}

void RouteWatcher::check()
{
    if (this->isCallUnderWay)
        return;
    BootTime now = this->clock.bootNow();
    if (this->trust.isFresh(now)) {
        this->isRelayed = true;
        this->timer.setTime(this->clock.now() + (*this->trust.getExpiry() - now));
        return;
    }
    if (std::exchange(this->isRelayed, false))
        return this->read();
    this->isCallUnderWay = true;
    this->store.watchRoutes(this->revision, watchSpan, [this](const std::optional<VersionedRoutes>& read, const Failure& failure) {
        if (!read)
            return this->retry("watch_routes", failure);
        this->confirmedAt = this->clock.bootNow();
        this->take(*read);
        this->watch();
    });
}

void RouteWatcher::retry(const std::string& call, const Failure& failure)
{
    logEvent(events::storeCallFailed, "call=" + call + " reason=\"" + failure.reason + "\"");
    // Others must not go by this instance while it cannot see the store.
    this->confirmedAt.reset();
    this->loop.schedule(retryInterval, [this] { this->read(); });
}

void RouteWatcher::take(const VersionedRoutes& read)
{
    this->revision = std::max(this->revision, read.revision);
    if (read.table != nullptr)
        this->offer(read.table);
}

} // namespace lentiljunction
