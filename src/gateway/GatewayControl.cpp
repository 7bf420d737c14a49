#include "GatewayControl.h"

#include "ProofCodec.h"
#include "StateCodec.h"

#include "lentiljunction/core/Json.h"
#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/fleet/ZoneReader.h"
#include "lentiljunction/leadership/PrimaryRecordCodec.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// Allows three attempts within one lease, so a single lost response has no effect.
    constexpr std::chrono::milliseconds leaseRenewalInterval { 400 };
    /// The zone reader reads the record from the store, and the other instances of the zone request it from
    /// the zone reader. If the lease that they get may not last until the next renewal, they read the store.
    constexpr std::chrono::milliseconds minimumRelayedLease { 800 };
    constexpr std::chrono::milliseconds zoneReaderRetryDelay { 2000 };
    constexpr std::chrono::milliseconds storeRetryInterval { 200 };
    /// Hundreds of instances must not keep a busy store busy. The zone readers retry at the interval above, and their
    /// leases reach the others with the next renewal.
    constexpr std::chrono::milliseconds longestStoreRetry { 1600 };
    /// Allows several round trips between availability zones.
    constexpr std::chrono::milliseconds peerTimeout { 150 };
    /// The store counts as unreachable when its last response is older.
    constexpr std::chrono::milliseconds storeContactTimeout { 1000 };

    std::int64_t toMilliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    FleetMember makeMember(const GatewaySettings& settings, const Clock& clock)
    {
        // An instance keeps nothing, so its processes are told apart by when they started.
        std::chrono::microseconds startedAt = std::chrono::duration_cast<std::chrono::microseconds>(clock.wallNow().time_since_epoch());
        return { settings.instance, settings.zone, settings.peers, std::nullopt, std::nullopt, settings.linkRate, ProcessNumber(static_cast<std::uint64_t>(startedAt.count())) };
    }

    std::vector<Endpoint> listOtherSeeds(const GatewaySettings& settings)
    {
        std::vector<Endpoint> others = settings.seeds;
        others.erase(std::remove(others.begin(), others.end(), settings.peers), others.end());
        return others;
    }

} // namespace

GatewayControl::GatewayControl(const Dependencies& dependencies, const GatewaySettings& settings)
    : dependencies(dependencies)
    , settings(settings)
    , peers(dependencies.controlLoop, dependencies.clock, *this)
    , writer(dependencies.store, dependencies.controlLoop, dependencies.clock, settings.instance, *this)
    , commander(dependencies.controlLoop, dependencies.clock, dependencies.protocol, settings.instance)
    , executor({ dependencies.controlLoop, dependencies.clock, dependencies.store, this->peers, this->writer, this->commander, *this, settings.instance })
    , coordination({ dependencies.controlLoop, dependencies.clock, this->peers, this->executor, this->commander, this->writer, settings.instance }, *this)
    , recovery({ dependencies.controlLoop, dependencies.clock, dependencies.store, this->peers, this->writer, this->commander, this->executor, this->coordination, *this, settings.instance }, settings.isFirstStart)
    , groupRegistrar(dependencies.controlLoop, dependencies.clock, this->commander, this->writer, *this, settings.instance)
    , registration(dependencies.controlLoop, dependencies.store, makeMember(settings, dependencies.clock), [this](StoreEra era) { this->onRegistered(era); })
    , leaseTracker(settings.instance, dependencies.clock)
    , routes(dependencies.controlLoop, dependencies.clock, dependencies.store, settings.instance, *this)
    , routeTransfer(dependencies.controlLoop, dependencies.clock, this->peers, this->routes, settings.peers)
    , peerConfirmation(dependencies.controlLoop, this->peers, dependencies.clock, this->routes, this->routeTransfer, settings.instance, listOtherSeeds(settings))
    , lists(dependencies.controlLoop, dependencies.clock, dependencies.store, this->peers, *this, settings.peers)
    , audit(dependencies.controlLoop, dependencies.clock, dependencies.store, settings.instance)
    , handover(settings.instance)
    , recordRetries(storeRetryInterval, longestStoreRetry)
{
}

void GatewayControl::start()
{
    this->dependencies.controlLoop.post([this] {
        this->routes.start();
        this->peerConfirmation.start();
        this->lists.start();
    });
}

void GatewayControl::onRegistered(StoreEra era)
{
    this->leaseTracker.onRegistered(era);
    if (!std::exchange(this->isRenewing, true))
        this->renewLease();
}

std::optional<FleetMember> GatewayControl::findZoneReader() const
{
    const VersionedPrimaryRecord& latest = this->leaseTracker.getView().latest;
    // The coordinator acts on the record, so it reads the store directly.
    if (latest.record == nullptr || latest.record->coordinator == this->settings.instance)
        return std::nullopt;
    std::optional<FleetMember> reader = chooseZoneReader(this->listActiveMembers(), this->settings.zone);
    return reader && reader->id != this->settings.instance ? reader : std::nullopt;
}

void GatewayControl::scheduleLeaseRenewal(Duration delay)
{
    if (std::exchange(this->isRenewalScheduled, true))
        return;
    this->dependencies.controlLoop.scheduleUntilDone(delay, [this] {
        this->isRenewalScheduled = false;
        this->renewLease();
    });
}

void GatewayControl::renewLease()
{
    std::optional<FleetMember> reader = this->findZoneReader();
    if (!reader) {
        this->askForRoutesAndLists();
        return this->readPrimaryRecord();
    }
    if (this->dependencies.clock.now() < this->zoneReaderAvoidedUntil) {
        this->askDeputy();
        return this->readPrimaryRecordUnlessAvoided();
    }
    BootTime sentAt = this->dependencies.clock.bootNow();
    this->peers.ask(reader->peers, this->makeStateRequest(), peerTimeout, [this, sentAt, endpoint = reader->peers, had = this->leaseTracker.getView().latest](const std::optional<nlohmann::json>& response) {
        if (response)
            this->onReaderResponse(*response, endpoint, sentAt, had);
        else {
            this->zoneReaderAvoidedUntil = this->dependencies.clock.now() + zoneReaderRetryDelay;
            this->askDeputy();
        }
        if (!response || this->leaseTracker.getRemaining(this->dependencies.clock.bootNow()) < minimumRelayedLease)
            return this->readPrimaryRecordUnlessAvoided();
        this->scheduleLeaseRenewal(leaseRenewalInterval);
    });
}

void GatewayControl::askDeputy()
{
    std::vector<FleetMember> readers = rankZoneReaders(this->listActiveMembers(), this->settings.zone);
    if (readers.size() < 2 || readers[1].id == this->settings.instance)
        return this->routes.onZoneReaderLost();
    BootTime sentAt = this->dependencies.clock.bootNow();
    this->peers.ask(readers[1].peers, this->makeStateRequest(), peerTimeout, [this, sentAt, endpoint = readers[1].peers, had = this->leaseTracker.getView().latest](const std::optional<nlohmann::json>& response) {
        if (response)
            this->onReaderResponse(*response, endpoint, sentAt, had);
        else
            this->routes.onZoneReaderLost();
    });
}

void GatewayControl::askForRoutesAndLists()
{
    std::optional<FleetMember> reader = chooseZoneReader(this->listActiveMembers(), this->settings.zone);
    if (!reader || reader->id == this->settings.instance)
        return;
    BootTime sentAt = this->dependencies.clock.bootNow();
    this->peers.ask(reader->peers, this->makeStateRequest(), peerTimeout, [this, sentAt, endpoint = reader->peers](const std::optional<nlohmann::json>& response) {
        if (!response)
            return;
        this->onZoneReaderFreshness(*response, endpoint, sentAt);
        this->lists.onZoneReaderResponse(*response, endpoint, sentAt);
    });
}

void GatewayControl::onReaderResponse(const nlohmann::json& response, const Endpoint& reader, BootTime sentAt, const VersionedPrimaryRecord& had)
{
    this->onPeerState(response, sentAt, had);
    this->applyProofs(response, sentAt);
    this->onZoneReaderFreshness(response, reader, sentAt);
    this->lists.onZoneReaderResponse(response, reader, sentAt);
}

void GatewayControl::readPrimaryRecordUnlessAvoided()
{
    if (this->dependencies.clock.now() >= this->recordReadAvoidedUntil)
        return this->readPrimaryRecord();
    this->requestPeerState();
    this->publishPrimaryView(false);
    this->scheduleLeaseRenewal(storeRetryInterval);
}

void GatewayControl::readPrimaryRecord()
{
    BootTime sentAt = this->dependencies.clock.bootNow();
    this->dependencies.store.readPrimaryRecord([this, sentAt](const std::optional<VersionedPrimaryRecord>& versioned, const Failure& failure) { this->onPrimaryRecordRead(versioned, failure, sentAt); });
}

void GatewayControl::onPrimaryRecordRead(const std::optional<VersionedPrimaryRecord>& versioned, const Failure& failure, BootTime sentAt)
{
    this->registration.renewInNewEra();
    this->audit.rewriteInNewEra();
    if (versioned) {
        this->writer.setBase(*versioned);
        this->onPrimaryRecord(*versioned, sentAt);
    }
    if (versioned || failure.kind == Failure::Kind::NotFound) {
        this->recovery.onRecordRead(versioned, sentAt);
        // Until the record is recovered, only those that may recover it need to read it often.
        if (versioned && versioned->isCurrent())
            this->recordRetries.onSuccess();
        else
            this->recordReadAvoidedUntil = this->dependencies.clock.now() + this->recordRetries.onFailure();
    } else {
        logEvent(events::storeCallFailed, "call=read_lead reason=\"" + failure.reason + "\" permit_ms=" + std::to_string(toMilliseconds(this->leaseTracker.getRemaining(this->dependencies.clock.bootNow()))));
        this->recordReadAvoidedUntil = this->dependencies.clock.now() + this->recordRetries.onFailure();
        this->requestPeerState();
        this->publishPrimaryView(false);
    }
    this->scheduleLeaseRenewal(versioned ? leaseRenewalInterval : storeRetryInterval);
}

void GatewayControl::publishPrimaryView(bool isNewer)
{
    PrimaryView view = this->leaseTracker.getView();
    if (view.latest.record != nullptr)
        this->updateRetired();
    bool hasValidLease = view.hasValidLease(this->dependencies.clock.bootNow());
    if (hasValidLease != this->hadValidLease)
        logEvent(hasValidLease ? events::leaseRegained : events::leaseLost, "lead_revision=" + std::to_string(view.latest.revision.value()) + " store_era=" + std::to_string(this->dependencies.store.getEra().value()));
    this->hadValidLease = hasValidLease;
    this->replaceableGroups.onView(view);
    if (view.latest.record == nullptr)
        return;
    if (isNewer) {
        logEvent(events::primaryRecordUpdated, "lead_revision=" + std::to_string(view.latest.revision.value()) + " store_era=" + std::to_string(view.latest.storeEra.value()) + " holder=" + view.latest.record->coordinator.toString() + " epoch=" + std::to_string(view.latest.record->epoch.value()) + " groups=" + toJsonText(encodePrimaryRecord(*view.latest.record)["groups"]));
        this->dependencies.trafficLoop.post([this, view] { this->dependencies.traffic.setPrimaryView(view); });
        this->updateReady();
        return this->checkFailovers();
    }
    this->dependencies.trafficLoop.post([this, view] { this->dependencies.traffic.extendLease(view); });
    this->checkFailovers();
}

void GatewayControl::checkFailovers()
{
    this->coordination.checkStalledFailovers();
    this->executor.removeEndedPromotions();
}

void GatewayControl::updateRetired()
{
    const VersionedPrimaryRecord& latest = this->leaseTracker.getView().latest;
    BootTime now = this->dependencies.clock.bootNow();
    this->handover.onRecord(*latest.record, latest.revision, now);
    this->members.updateRetired(latest.record->retired, now);
    this->members.updateAbsent(latest.record->absent, this->leaseTracker.getView().hasValidLease(now), now);
    this->coordination.onRecord(*latest.record);
    bool isAbsent = latest.record->absent.count(this->settings.instance) > 0;
    if ((this->leaseTracker.isRetired() || isAbsent) && this->recovery.isRecordCurrent())
        this->returnToService();
}

void GatewayControl::returnToService()
{
    if (std::exchange(this->isReturnPending, true))
        return;
    this->writer.submit([this](PrimaryRecord& record) { return record.retired.erase(this->settings.instance) + record.absent.erase(this->settings.instance) > 0; }, [this](bool isWritten, BootTime) {
        this->isReturnPending = false;
        logEvent(events::instanceReturned, "written=" + std::to_string(isWritten) + " lead_revision=" + std::to_string(this->leaseTracker.getView().latest.revision.value())); });
}

bool GatewayControl::isStoreReachable() const
{
    return this->dependencies.clock.bootNow() - this->storeAnsweredAt < storeContactTimeout;
}

void GatewayControl::confirmTrafficUpdate(std::function<void()> callback)
{
    // Posted tasks run in order, so a view that was posted earlier is in use when this task runs.
    this->dependencies.trafficLoop.post([this, callback = std::move(callback)] { this->dependencies.controlLoop.post(callback); });
}

void GatewayControl::requestPeerState()
{
    std::vector<Endpoint> endpoints = this->members.listOthers(this->settings.instance);
    endpoints = endpoints.empty() ? this->settings.seeds : endpoints;
    if (endpoints.empty())
        return;
    // Each request goes to another instance, since the previous one may not reach the store either.
    const Endpoint& peer = endpoints[this->nextPeer++ % endpoints.size()];
    BootTime sentAt = this->dependencies.clock.bootNow();
    this->peers.ask(peer, this->makeStateRequest(), peerTimeout, [this, sentAt, had = this->leaseTracker.getView().latest](const std::optional<nlohmann::json>& response) {
        if (response)
            this->onPeerState(*response, sentAt, had);
    });
}

nlohmann::json GatewayControl::makeStateRequest() const
{
    nlohmann::json request { { "ask", "beliefs" } };
    encodeRecordRequest(this->leaseTracker.getView().latest, request);
    return request;
}

void GatewayControl::onPeerState(const nlohmann::json& response, BootTime sentAt, const VersionedPrimaryRecord& had)
{
    if (!response.is_object() || !response.contains("permit_us"))
        return;
    Failure failure;
    std::optional<VersionedPrimaryRecord> versioned = decodeRecordResponse(response, had, failure);
    if (!versioned) {
        if (failure.kind != Failure::Kind::NotFound)
            logEvent(events::peerMessageInvalid, "reason=\"" + failure.reason + "\"");
        return;
    }
    Duration permit = std::max(Duration(0), getDuration(response["permit_us"]));
    this->writer.setBase(*versioned);
    this->publishPrimaryView(this->leaseTracker.onPeerResponse(*versioned, permit, sentAt));
}

void GatewayControl::onRoutesInForce(const std::shared_ptr<const RouteTable>& table)
{
    this->routeTransfer.onRoutesInForce(table);
    this->dependencies.trafficLoop.post([this, table, confirmation = this->routes.getConfirmation()] { this->dependencies.traffic.setRoutes(table, confirmation); });
    this->updateReady();
}

void GatewayControl::onZoneReaderFreshness(const nlohmann::json& response, const Endpoint& reader, BootTime sentAt)
{
    std::optional<RouteFreshness> freshness = decodeRouteFreshness(response);
    if (freshness && this->routes.onRelayedFreshness(*freshness, reader, sentAt))
        this->routeTransfer.request(reader, freshness->version);
}

std::optional<BundleVersion> GatewayControl::getConfigurationVersion() const
{
    return this->routes.getTable() != nullptr ? std::optional<BundleVersion>(this->routes.getTable()->version) : std::nullopt;
}

void GatewayControl::onConfigurationVersion(BundleVersion version, const std::optional<Endpoint>& peer)
{
    if (!this->routes.onVersionReported(version, { RouteSource::Kind::OtherInstance, peer.value_or(Endpoint()) }))
        return;
    if (peer)
        this->routeTransfer.request(*peer, version);
    else
        this->peerConfirmation.askNow();
}

void GatewayControl::onUpstreamList(const std::shared_ptr<const UpstreamList>& list)
{
    std::vector<std::string> changes = this->upstreams.offer(*list, this->dependencies.clock.now());
    for (const std::string& change : changes)
        logEvent(events::upstreamListed, change);
    if (!changes.empty())
        this->dependencies.trafficLoop.post([this, current = this->upstreams.getList()] { this->dependencies.traffic.setUpstreams(current); });
    this->hasListedUpstreams = true;
    this->updateReady();
    this->coordination.checkPrimaries();
    this->groupRegistrar.check();
}

void GatewayControl::onMemberList(const std::vector<FleetMember>& list)
{
    this->members.setMembers(list, this->dependencies.clock.bootNow());
    this->peerConfirmation.setMembers(this->listActiveMembers());
    this->publishMembers();
    this->hasListedMembers = true;
    this->updateReady();
}

void GatewayControl::publishMembers()
{
    std::vector<FleetMember> active = this->listActiveMembers();
    bool relaysProofs = !this->findZoneReader();
    this->routes.setReaderRank(this->findReaderRank(active));
    BootTime now = this->dependencies.clock.bootNow();
    this->dependencies.trafficLoop.post([this, members = this->members.listForTraffic(now), number = this->members.getSize(now), relaysProofs] { this->dependencies.traffic.setMembers(members, number, relaysProofs); });
}

std::size_t GatewayControl::findReaderRank(const std::vector<FleetMember>& active) const
{
    std::vector<FleetMember> readers = rankZoneReaders(active, this->settings.zone);
    std::vector<FleetMember>::const_iterator self = std::find_if(readers.begin(), readers.end(), [this](const FleetMember& member) { return member.id == this->settings.instance; });
    return static_cast<std::size_t>(self - readers.begin());
}

void GatewayControl::updateReady()
{
    bool isComplete = this->routes.getTable() != nullptr && this->hasListedUpstreams && this->hasListedMembers && this->leaseTracker.getView().latest.record != nullptr;
    if (isComplete && !this->ready.exchange(true))
        logEvent(events::instanceReady, "routes_version=" + std::to_string(this->routes.getTable()->version.value()));
}

GatewayMetrics::KnownState GatewayControl::getKnownState() const
{
    GatewayMetrics::KnownState state;
    const PrimaryView& view = this->leaseTracker.getView();
    if (this->routes.getTable() != nullptr)
        state.routesVersion = this->routes.getTable()->version.value();
    if (view.latest.record != nullptr) {
        state.primaryRevision = view.latest.revision.value();
        state.primaryRecordEra = view.latest.storeEra.value();
        state.epoch = view.latest.record->epoch.value();
        state.isFailoverCoordinator = view.latest.record->coordinator == this->settings.instance;
    }
    state.routesRevision = this->routes.getRevision().value();
    if (this->routes.getProof())
        state.routesProofAge = std::chrono::duration_cast<Duration>(this->dependencies.clock.bootNow() - this->routes.getProof()->provenAt);
    state.storeEra = this->dependencies.store.getEra().value();
    state.lease = this->leaseTracker.getRemaining(this->dependencies.clock.bootNow());
    state.numInstances = this->members.getSize(this->dependencies.clock.bootNow());
    state.numUpstreams = this->upstreams.getList()->entries.size();
    state.numPeerBytes = this->peers.getNumBytesSent();
    state.numPeerBytesQueued = this->peers.countQueuedBytes();
    state.numPromotionCalls = this->executor.getNumPromotionCalls();
    state.numRouteBytesRead = this->dependencies.store.countRouteBytes();
    return state;
}

nlohmann::json GatewayControl::makeRoutesVersionResponse() const
{
    std::optional<RouteFreshness> freshness = this->routes.getFreshness();
    if (freshness)
        return { { "routes", encodeRouteFreshness(*freshness) } };
    return this->routes.isBehind() ? nlohmann::json { { "behind", true } } : nlohmann::json::object();
}

nlohmann::json GatewayControl::makeStateResponse(const nlohmann::json& request) const
{
    nlohmann::json response = this->makeRoutesVersionResponse();
    response["lists"] = this->lists.makeVersions();
    const PrimaryView& view = this->leaseTracker.getView();
    if (view.latest.record == nullptr)
        return response;
    encodeRecordResponse(view.latest, request, response);
    response["permit_us"] = this->leaseTracker.getRemaining(this->dependencies.clock.bootNow()).count();
    return response;
}

void GatewayControl::respondWithState(const nlohmann::json& request, const PeerRpc::Responder& respond)
{
    this->dependencies.trafficLoop.post([this, request, respond] {
        std::vector<FreshnessProofs::Newest> proofs = this->dependencies.traffic.listNewestProofs();
        this->dependencies.controlLoop.post([this, request, respond, proofs = std::move(proofs)] {
            nlohmann::json response = this->makeStateResponse(request);
            response["proofs"] = encodeProofs(proofs, this->dependencies.clock.bootNow());
            respond(response);
        });
    });
}

void GatewayControl::applyProofs(const nlohmann::json& response, BootTime sentAt)
{
    if (!response.is_object() || !response.contains("proofs"))
        return;
    std::optional<std::vector<FreshnessProofs::Newest>> proofs = decodeProofs(response["proofs"], sentAt);
    if (!proofs)
        return logEvent(events::peerMessageInvalid, "reason=\"proofs of age cannot be read\"");
    this->dependencies.trafficLoop.post([this, decoded = std::move(*proofs)] { this->dependencies.traffic.addFreshnessProofs(decoded); });
}

void GatewayControl::onPrimaryRecordMessage(const nlohmann::json& request, const PeerRpc::Responder& respond)
{
    // The sender computed its remaining lease at an unknown time before the message arrived, so this instance
    // must not count it from now.
    nlohmann::json message = request;
    message["permit_us"] = 0;
    this->onPeerState(message, this->dependencies.clock.bootNow(), VersionedPrimaryRecord());
    const VersionedPrimaryRecord& latest = this->leaseTracker.getView().latest;
    nlohmann::json confirmation { { "instance", this->settings.instance.toString() }, { "applied", latest.revision.value() }, { "era", latest.record == nullptr ? 0 : latest.record->era.value() } };
    this->confirmTrafficUpdate([this, respond, confirmation] {
        this->executor.runAfterPromotionCalls([respond, confirmation] { respond(confirmation); });
    });
}

void GatewayControl::onPeerRequest(const nlohmann::json& request, const PeerRpc::Responder& respond)
{
    std::string kind = request.is_object() ? request.value("ask", "") : "";
    if (kind == "beliefs")
        return this->respondWithState(request, respond);
    if (kind == "routes")
        return respond(this->routeTransfer.respond(request));
    if (kind == "routes_version")
        return respond(this->makeRoutesVersionResponse());
    if (kind == "upstreams")
        return respond(this->lists.makeUpstreams(request));
    if (kind == "members")
        return respond(this->lists.makeMembers(request));
    if (kind == "take_lead")
        return this->onPrimaryRecordMessage(request, respond);
    if (kind == "suspect")
        return this->coordination.onSuspicionReport(request, respond);
    if (kind == "newer_term")
        return this->coordination.onNewerTermReport(request, respond);
    if (kind == "opinion")
        return respond(this->coordination.makeVoteResponse(request));
    if (kind == "failover_progress")
        return respond(this->coordination.makeProgressResponse(request));
    if (kind == "record_version")
        return respond(this->recovery.makeVersionResponse());
    logEvent(events::peerMessageInvalid, "reason=\"an unknown question\"");
}

} // namespace lentiljunction
