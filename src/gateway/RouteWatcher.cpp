#include "RouteWatcher.h"

#include "lentiljunction/core/LogEvents.h"

#include <algorithm>
#include <array>
#include <utility>

namespace lentiljunction {

namespace {

    constexpr std::chrono::milliseconds firstStoreRetry { 200 };
    constexpr std::chrono::milliseconds longestStoreRetry { 1600 };
    /// An instance that knows of a newer configuration asks other instances for it meanwhile.
    constexpr std::chrono::milliseconds longestRetryBehind { 800 };
    /// A watch is renewed after this time, since its connection may be dead without an error.
    constexpr std::chrono::milliseconds watchTimeout { 4000 };
    /// A new configuration must be in force within three seconds, also at instances that rely on this one.
    constexpr std::chrono::milliseconds readInterval { 1000 };
    /// With workspaces, removed keys are refused in time only with more recent proofs.
    constexpr std::chrono::milliseconds workspacesReadInterval { 700 };
    /// Between reads of a large configuration a link has this many times as long for other messages as the read took.
    constexpr int pausesPerRead = 1;
    constexpr std::chrono::milliseconds longestReadPause { 900 };
    /// Reads that take longer are logged.
    constexpr std::chrono::milliseconds slowRead { 300 };
    /// How old a relayed proof may be at the two instances that read the store next if the zone reader cannot. Those
    /// that rely on them ask them for their proofs before their own expire.
    constexpr std::array<std::chrono::milliseconds, 2> deputyLifetimes { std::chrono::milliseconds(1900), std::chrono::milliseconds(2100) };
    /// A read of which nothing arrives for longer is repeated. It may still be answered, since the store or the way to it may be slow.
    constexpr std::chrono::milliseconds readPatience { 700 };

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
    : clock(clock)
    , store(store)
    , self(std::move(self))
    , listener(listener)
    , storeRetries(firstStoreRetry, longestStoreRetry)
    , readTimer(loop, clock, [this] { this->readUnlessRelayed(); })
    , proofTimer(loop, clock, [this] { this->checkProven(); })
{
}

bool RouteWatcher::onRelayedFreshness(const RouteFreshness& freshness, const Endpoint& reader, BootTime sentAt)
{
    RouteSource source { RouteSource::Kind::OtherInstance, reader };
    if (this->isNewer(freshness, source))
        return true;
    // An instance that has an older version would not tell of a newer one in time.
    if (freshness.version != this->getNewestTable()->version)
        return false;
    this->relayedFreshness.onFreshness(freshness, sentAt);
    this->recordProof({ sentAt - freshness.age, freshness.confirmedTo, source });
    return false;
}

bool RouteWatcher::onPeerFreshness(const RouteFreshness& freshness, const Endpoint& peer, BootTime sentAt)
{
    RouteSource source { RouteSource::Kind::OtherInstance, peer };
    if (this->isNewer(freshness, source))
        return true;
    if (freshness.version == this->getNewestTable()->version)
        this->recordProof({ sentAt - freshness.age, freshness.confirmedTo, source });
    return false;
}

bool RouteWatcher::isNewer(const RouteFreshness& freshness, const RouteSource& source)
{
    this->onVersionReported(freshness.version, source);
    const std::shared_ptr<const RouteTable>& table = this->getNewestTable();
    return table == nullptr || freshness.version > table->version;
}

bool RouteWatcher::onVersionReported(BundleVersion version, const RouteSource& source)
{
    if (!this->proofs.onReported(version, source, this->clock.bootNow()))
        return false;
    logEvent(events::routesBehind, "routes_version=" + describeVersion(this->routes.getTable()) + " newer=" + std::to_string(version.value()) + " " + describe(source));
    if (!this->isReadPending)
        this->readTimer.setTimeIfEarlier(this->clock.now() + (this->proofs.getOtherInstancesNeededAt() - this->clock.bootNow()));
    return true;
}

void RouteWatcher::setReaderRank(std::size_t rank)
{
    bool isDeputy = rank >= 1 && rank <= deputyLifetimes.size();
    this->relayedFreshness.setLifetime(isDeputy ? deputyLifetimes[rank - 1] : relayedFreshnessLifetime);
}

void RouteWatcher::onZoneReaderLost()
{
    if (!this->relayedFreshness.isFresh(this->clock.bootNow()))
        return;
    this->relayedFreshness.clear();
    this->readNow();
}

void RouteWatcher::onOtherInstancesAsked()
{
    if (this->unprovenTable == nullptr)
        return;
    BundleVersion version = this->unprovenTable->version;
    if (this->isFirstReadDone && this->askedAboutVersion == version)
        return this->releaseUnprovenTable();
    this->askedAboutVersion = version;
}

void RouteWatcher::offer(std::shared_ptr<const RouteTable> table, const RouteSource& source)
{
    if (this->routes.getTable() != nullptr || source.kind != RouteSource::Kind::OtherInstance) {
        this->putInForce(table, source);
        return this->releaseUnprovenTable();
    }
    if (this->unprovenTable != nullptr && table->version <= this->unprovenTable->version)
        return;
    this->proofs.onTableKnown(table->version);
    this->unprovenTable = std::move(table);
    this->unprovenSource = source;
}

void RouteWatcher::putInForce(const std::shared_ptr<const RouteTable>& table, const RouteSource& source)
{
    std::string previous = describeVersion(this->routes.getTable());
    if (!this->routes.offer(table))
        return;
    this->keyFreshness.onTableInForce();
    std::string detail = "routes_version=" + describeVersion(table) + " previous=" + previous + " routes=" + std::to_string(table->routes.size()) + " " + describe(source)
        + " revision=" + std::to_string(this->revision.value()) + " store_era=" + std::to_string(this->era.value()) + " watching=" + std::to_string(this->isWatching);
    if (this->proofs.getNewer())
        detail += " behind_ms=" + std::to_string(toMilliseconds(this->clock.bootNow() - this->proofs.getNewer()->knownSince));
    logEvent(events::routesInForce, detail);
    this->proofs.onTableKnown(table->version);
    this->listener.onRoutesInForce(table);
}

void RouteWatcher::releaseUnprovenTable()
{
    if (this->unprovenTable != nullptr)
        this->putInForce(std::exchange(this->unprovenTable, nullptr), this->unprovenSource);
}

void RouteWatcher::recordProof(const RouteProof& proof)
{
    this->proofs.onProof(proof);
    this->keyFreshness.onCurrentAt(proof.provenAt);
    if (this->proofs.isProven(this->clock.bootNow()))
        this->releaseUnprovenTable();
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
    std::string detail = "routes_version=" + describeVersion(this->routes.getTable()) + " proof_ms=" + std::to_string(toMilliseconds(now - proof.provenAt)) + " confirmed_to=" + proof.confirmedTo.toString()
        + " " + describe(proof.source) + " revision=" + std::to_string(this->revision.value()) + " store_era=" + std::to_string(this->era.value());
    if (change == RouteProofTracker::Change::Regained)
        return logEvent(events::routesProven, detail);
    detail += " watching=" + std::to_string(this->isWatching);
    if (this->isReadPending)
        detail += " read_pending_ms=" + std::to_string(toMilliseconds(now - this->readSentAt));
    logEvent(events::routesUnproven, detail);
}

std::optional<RouteFreshness> RouteWatcher::getFreshness() const
{
    BootTime now = this->clock.bootNow();
    if (this->routes.getTable() == nullptr || this->isBehind() || !this->proofs.isProven(now))
        return std::nullopt;
    const RouteProof& proof = *this->proofs.getProof();
    return RouteFreshness { this->routes.getTable()->version, std::chrono::duration_cast<Duration>(now - proof.provenAt), proof.confirmedTo };
}

void RouteWatcher::read()
{
    std::uint64_t number = ++this->lastRead;
    this->isReadPending = true;
    this->readSentAt = this->clock.bootNow();
    this->numBytesAtStart = this->store.countRouteBytes();
    this->numBytesAtCheck = this->numBytesAtStart;
    this->readTimer.setTime(this->clock.now() + readPatience);
    this->store.readRoutes([this, number, sentAt = this->readSentAt](const std::optional<VersionedRoutes>& versioned, const Failure& failure) {
        if (versioned)
            return this->onReadDone(*versioned, sentAt);
        if (this->isReadPending && number == this->lastRead)
            this->onReadFailed(failure);
    });
}

void RouteWatcher::readNow()
{
    if (!this->isReadPending && this->lastRead > 0)
        this->read();
}

void RouteWatcher::readUnlessRelayed()
{
    if (this->isReadPending) {
        // A second read over the same link would only delay the first one.
        std::uint64_t numBytes = this->store.countRouteBytes();
        if (std::exchange(this->numBytesAtCheck, numBytes) != numBytes)
            return this->readTimer.setTime(this->clock.now() + readPatience);
        Failure failure;
        failure.set(Failure::Kind::Unavailable, "no response yet");
        return this->onReadFailed(failure);
    }
    if (this->isRelayed())
        return this->scheduleRead();
    BootTime now = this->clock.bootNow();
    BootTime neededAt = this->proofs.getOtherInstancesNeededAt();
    if (this->isBehind() && neededAt > now)
        return this->readTimer.setTime(this->clock.now() + (neededAt - now));
    this->read();
}

void RouteWatcher::scheduleRead()
{
    if (this->isRelayed())
        return this->readTimer.setTime(this->clock.now() + (*this->relayedFreshness.getExpiry() - this->clock.bootNow()));
    this->readTimer.setTime(this->clock.now() + this->getReadInterval());
}

Duration RouteWatcher::getReadInterval() const
{
    if (this->isBehind())
        return firstStoreRetry;
    Duration interval = this->hasWorkspaces() ? workspacesReadInterval : readInterval;
    return std::max(interval, std::min<Duration>(this->readDuration * pausesPerRead, longestReadPause));
}

void RouteWatcher::onReadDone(const VersionedRoutes& versioned, BootTime sentAt)
{
    // An earlier read may be answered after a later one.
    if (sentAt < this->appliedReadAt)
        return;
    this->appliedReadAt = sentAt;
    this->readDuration = std::chrono::duration_cast<Duration>(this->clock.bootNow() - sentAt);
    this->isReadPending = false;
    this->isFirstReadDone = true;
    if (this->readDuration > slowRead)
        logEvent(events::routesReadSlow, "took_ms=" + std::to_string(toMilliseconds(this->readDuration)) + " bytes=" + std::to_string(this->store.countRouteBytes() - this->numBytesAtStart));
    this->storeRetries.onSuccess();
    if (versioned.revision < this->revision)
        logEvent(events::routesPositionLost, "revision=" + std::to_string(this->revision.value()) + " read=" + std::to_string(versioned.revision.value()) + " store_era=" + std::to_string(versioned.era.value()));
    // A lower revision is that of a restored store.
    this->revision = versioned.revision;
    this->era = versioned.era;
    if (versioned.table != nullptr)
        this->offer(versioned.table, { RouteSource::Kind::StoreRead });
    this->keyFreshness.onStoreAnswered();
    this->listener.onStoreRevision(versioned.revision, versioned.era, sentAt);
    // A configuration that cannot be decoded may be a newer one.
    if (!versioned.isInvalid)
        this->recordProof({ sentAt, this->self, { RouteSource::Kind::StoreRead } });
    this->scheduleRead();
    this->watch();
}

void RouteWatcher::onReadFailed(const Failure& failure)
{
    logEvent(events::storeCallFailed, "call=read_routes reason=\"" + failure.reason + "\"");
    this->isReadPending = false;
    this->isFirstReadDone = true;
    this->keyFreshness.onStoreFailed(failure.isResponse);
    Duration delay = this->storeRetries.onFailure();
    this->readTimer.setTime(this->clock.now() + (this->isBehind() ? std::min<Duration>(delay, longestRetryBehind) : delay));
}

void RouteWatcher::watch()
{
    if (this->isWatching || this->isRelayed())
        return;
    this->isWatching = true;
    this->store.watchRoutes(this->revision, watchTimeout, [this](const std::optional<VersionedRoutes>& versioned, const Failure& failure) {
        this->isWatching = false;
        if (versioned)
            return this->onWatchDone(*versioned);
        logEvent(events::storeCallFailed, "call=watch_routes reason=\"" + failure.reason + "\"");
        // The next read returns a revision from which the watch can continue.
        if (!this->isReadPending)
            this->readTimer.setTimeIfEarlier(this->clock.now() + this->storeRetries.onFailure());
    });
}

void RouteWatcher::onWatchDone(const VersionedRoutes& versioned)
{
    if (versioned.era != this->era) {
        logEvent(events::routesPositionLost, "revision=" + std::to_string(this->revision.value()) + " era=" + std::to_string(this->era.value()) + " store_era=" + std::to_string(versioned.era.value()));
        return this->readNow();
    }
    if (this->revision < versioned.revision)
        this->revision = versioned.revision;
    if (versioned.table != nullptr)
        this->offer(versioned.table, { RouteSource::Kind::StoreWatch });
    this->watch();
}

} // namespace lentiljunction
