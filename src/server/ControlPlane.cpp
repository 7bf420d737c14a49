#include "ControlPlane.h"

#include "../store/StoreDocuments.h"
#include "AuditFlush.h"
#include "lentiljunction/core/LogEvents.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(10);
    /// A new instance becomes ready with its peers' bundle if the store has not answered within this time.
    constexpr Duration storeTimeout = std::chrono::milliseconds(1500);
    constexpr std::size_t maximumReachabilityRequests = 1000;
    constexpr const char* storeWatchRole = "store-watch";

    Member makeSelf(const Settings& settings, const Clock& clock)
    {
        Incarnation incarnation(static_cast<std::uint64_t>(toUnixMilliseconds(clock.wallNow())));
        return { settings.instance, settings.zone, settings.advertised, MemberState::Alive, incarnation };
    }

    std::uint64_t makeSeed(const Settings& settings, const Clock& clock)
    {
        return std::hash<InstanceId>()(settings.instance) ^ static_cast<std::uint64_t>(clock.now().time_since_epoch().count());
    }

} // namespace

ControlPlane::ControlPlane(Dependencies dependencies, const Settings& settings, Listener& listener)
    : dependencies(dependencies)
    , settings(settings)
    , listener(listener)
    , random(makeSeed(settings, dependencies.clock))
    , membership(makeSelf(settings, dependencies.clock), settings.seeds, makeSeed(settings, dependencies.clock), dependencies.clock.now())
    , broadcaster(this->membership, settings.instance, settings.zone, [this](const InstanceId& to, const PeerMessage& message) { this->listener.sendToPeer(to, message); })
    , bundles(dependencies.clock, settings.trust, *this)
    , worker(dependencies.store, dependencies.loop, *this)
    , audit(settings.instance.toString())
    , watchers({ dependencies.loop, dependencies.clock, dependencies.connector, *this, settings.instance })
{
    this->membership.setListener(this);
}

void ControlPlane::start()
{
    this->startedAt = this->dependencies.clock.now();
    this->worker.start();
    this->listener.onMembers(this->membership.getMembers());
    this->fetchInitialState();
    this->dependencies.loop.repeat(tickInterval, [this] { this->onTick(); });
}

void ControlPlane::leave()
{
    this->sendMembershipMessages(this->membership.leave());
    this->areGatesStale = true;
    this->onTick();
}

void ControlPlane::stop()
{
    this->worker.stop();
}

void ControlPlane::onPeerMessage(const InstanceId& from, const PeerMessage& message)
{
    if (const MembershipMessage* membershipMessage = std::get_if<MembershipMessage>(&message)) {
        this->sendMembershipMessages(this->membership.onMessage(from, *membershipMessage, this->dependencies.clock.now()));
        this->bundles.onPeerVersion(from, membershipMessage->bundleVersion);
    } else if (const BundleNotice* notice = std::get_if<BundleNotice>(&message)) {
        this->bundles.onPeerVersion(from, notice->version);
    } else if (const BundleRequest* request = std::get_if<BundleRequest>(&message)) {
        this->bundles.onRequest(from, *request);
    } else if (const BundleResponse* reply = std::get_if<BundleResponse>(&message)) {
        this->bundles.onReply(from, *reply);
    } else if (const PrimaryNotice* primary = std::get_if<PrimaryNotice>(&message)) {
        this->onPrimaryNotice(from, *primary);
    } else if (const ReachabilityRequest* reachabilityRequest = std::get_if<ReachabilityRequest>(&message)) {
        GroupWatcher* watcher = this->watchers.find(reachabilityRequest->database);
        bool isReached = watcher != nullptr && watcher->reaches(reachabilityRequest->upstream);
        this->listener.sendToPeer(from, ReachabilityResponse { reachabilityRequest->requestId, isReached });
    } else if (const ReachabilityResponse* reachability = std::get_if<ReachabilityResponse>(&message)) {
        std::map<std::uint64_t, DatabaseId>::iterator pendingRequest = this->reachabilityRequests.find(reachability->requestId);
        GroupWatcher* watcher = pendingRequest == this->reachabilityRequests.end() ? nullptr : this->watchers.find(pendingRequest->second);
        if (watcher != nullptr)
            watcher->onReachabilityReport(reachability->isReached);
    } else if (const LeavingNotice* leavingNotice = std::get_if<LeavingNotice>(&message)) {
        std::set<UpstreamId> announcedLeaving(leavingNotice->upstreams.begin(), leavingNotice->upstreams.end());
        if (announcedLeaving != this->leaving) {
            this->setLeavingUpstreams(announcedLeaving);
            this->broadcaster.forward(from, message);
        }
    }
}

void ControlPlane::setActive(const std::vector<DatabaseId>& databases)
{
    for (const DatabaseId& database : databases) {
        GroupWatcher* watcher = this->watchers.findOrCreate(database, this->bundles.getBundle().get());
        if (watcher != nullptr)
            watcher->setActive();
    }
}

void ControlPlane::startFastProbing(const DatabaseId& database)
{
    GroupWatcher* watcher = this->watchers.findOrCreate(database, this->bundles.getBundle().get());
    if (watcher != nullptr)
        watcher->startFastProbing();
}

nlohmann::json ControlPlane::describe() const
{
    nlohmann::json members = nlohmann::json::array();
    for (const Member& member : *this->membership.getMembers())
        members.push_back({ { "id", member.id.toString() }, { "zone", member.zone.toString() }, { "state", toString(member.state) } });

    nlohmann::json groups = nlohmann::json::object();
    for (const std::pair<const DatabaseId, std::unique_ptr<GroupWatcher>>& entry : this->watchers.getAll()) {
        std::optional<PrimaryHint> primary = entry.second->getPrimary();
        nlohmann::json group { { "terms_in_reserve", entry.second->getNumTerms() } };
        if (primary)
            group.update({ { "primary", primary->upstream.toString() }, { "term", primary->term.value() }, { "primary_reached", entry.second->reaches(primary->upstream) } });
        groups[entry.first.toString()] = group;
    }

    nlohmann::json ownUpstreams = nlohmann::json::array();
    for (const UpstreamId& upstream : this->ownGates.getAll())
        ownUpstreams.push_back(upstream.toString());
    return {
        { "instance", this->settings.instance.toString() },
        { "zone", this->settings.zone.toString() },
        { "ready", this->isReady },
        { "bundle_version", this->bundles.getVersion().value() },
        { "store_reached", this->isStoreReachable },
        { "members", members },
        { "gate_of", ownUpstreams },
        { "groups", groups },
    };
}

void ControlPlane::onMemberChanged(const Member& member)
{
    logEvent(events::memberChanged, "member=" + member.id.toString() + " state=" + toString(member.state));
    this->areGatesStale = true;
    if (member.zone == this->settings.zone && this->isZoneReader())
        this->audit.add({ {}, AuditKind::Membership, "", member.id.toString(), "heartbeats and reports of peers", "", toString(member.state) }, this->dependencies.clock.wallNow());
}

void ControlPlane::onProbed(const DatabaseId& database, const UpstreamId& upstream, const UpstreamStatus& status, TimePoint requestedAt)
{
    this->listener.onUpstreamStatus(database, upstream, status, requestedAt);
    bool isActing = status.isPrimary && status.fencedTerm == status.head.term;
    PrimaryHint& known = this->knownPrimaries[database];
    if (!isActing || status.head.term <= known.term)
        return;

    known = { status.head.term, upstream };
    logEvent(events::primaryChanged, "database=" + database.toString() + " primary=" + upstream.toString() + " term=" + std::to_string(known.term.value()));
    this->listener.onNewPrimary(database, known);
}

void ControlPlane::onPrimaryReachable(const DatabaseId& database, bool isReachable)
{
    this->listener.onPrimaryReachabilityChanged(database, isReachable);
}

std::size_t ControlPlane::requestReachabilityReports(const DatabaseId& database, const std::optional<UpstreamId>& primary)
{
    const DatabaseConfig* config = this->bundles.getBundle()->findDatabase(database);
    if (config == nullptr || !primary || this->gates == nullptr)
        return 0;

    std::set<InstanceId> otherGates;
    for (const UpstreamConfig& upstream : config->upstreams) {
        const std::vector<InstanceId>& candidates = this->gates->getCandidates(upstream.id);
        if (!candidates.empty() && candidates.front() != this->settings.instance)
            otherGates.insert(candidates.front());
    }
    for (const InstanceId& instance : otherGates) {
        std::uint64_t requestNumber = this->nextReachabilityRequest++;
        this->reachabilityRequests[requestNumber] = database;
        this->listener.sendToPeer(instance, ReachabilityRequest { requestNumber, database, *primary });
    }
    while (this->reachabilityRequests.size() > maximumReachabilityRequests)
        this->reachabilityRequests.erase(this->reachabilityRequests.begin());
    return otherGates.size();
}

void ControlPlane::requestTerms(const DatabaseId& database, Term above)
{
    std::string nonce = this->settings.instance.toString() + "/" + std::to_string(this->random.bits());
    this->worker.submit([this, database, above, nonce](PlatformStore& store) {
        std::optional<TermRecord::Grant> grant = reserveTerms(store, database, above, nonce);
        this->dependencies.loop.post([this, database, grant] {
            GroupWatcher* watcher = this->watchers.find(database);
            if (watcher != nullptr)
                watcher->onTerms(grant);
        });
    });
}

void ControlPlane::onPromotionEnded(const DatabaseId& database, const PrimaryHint& primary, const std::string& failureReason)
{
    bool isDone = failureReason.empty();
    this->dependencies.metrics.onPromotion(isDone);
    std::string detail = "database=" + database.toString() + " term=" + std::to_string(primary.term.value());
    if (!isDone) {
        logEvent(events::promotionFailed, detail + " reason=\"" + failureReason + "\"");
        return;
    }

    logEvent(events::promotionDone, detail + " primary=" + primary.upstream.toString());
    PrimaryHint& known = this->knownPrimaries[database];
    std::string before = known.upstream.toString() + " term " + std::to_string(known.term.value());
    std::string after = primary.upstream.toString() + " term " + std::to_string(primary.term.value());
    this->audit.add({ {}, AuditKind::Promotion, "", database.toString(), "the primary failed, left or was fenced", before, after }, this->dependencies.clock.wallNow());
    if (known.term < primary.term)
        known = primary;
    this->listener.onNewPrimary(database, primary);
    this->broadcaster.sendToAll(PrimaryNotice { database, primary });
}

void ControlPlane::onStoreChanged(const StoreWatchResult& changes)
{
    for (const StoreObject& object : changes.objects) {
        if (object.key == storekeys::currentBundle) {
            std::optional<BundleVersion> version = parseBundleVersion(object.value);
            if (version && *version > this->bundles.getVersion())
                this->fetchBundle(version);
        } else if (object.key == storekeys::instances) {
            this->membership.addSeeds(parseInstances(object.value));
            this->areGatesStale = true;
        } else if (object.key == storekeys::leavingUpstreams) {
            std::set<UpstreamId> listed = parseUpstreamIds(object.value);
            if (listed == this->leaving)
                continue;
            this->setLeavingUpstreams(listed);
            this->broadcaster.sendToAll(LeavingNotice { std::vector<UpstreamId>(listed.begin(), listed.end()) });
        }
    }
}

void ControlPlane::onStoreReachable(bool isReachable)
{
    if (isReachable == this->isStoreReachable)
        return;
    this->isStoreReachable = isReachable;
    logEvent(isReachable ? events::storeAvailable : events::storeUnavailable, "");
}

void ControlPlane::onTick()
{
    TimePoint now = this->dependencies.clock.now();
    this->sendMembershipMessages(this->membership.onTick(now));
    this->worker.setWatching(this->isZoneReader());
    if (this->areGatesStale)
        this->refreshGates();
    this->watchers.onTick();
    this->bundles.requestFirstBundle(*this->membership.getMembers(), this->settings.instance, this->random);
    this->checkReady();
    flushAudit(this->audit, this->worker, this->dependencies.loop, this->dependencies.clock);
}

bool ControlPlane::isZoneReader() const
{
    return this->membership.getZoneOwner(storeWatchRole) == this->settings.instance;
}

void ControlPlane::sendMembershipMessages(const std::vector<Membership::Outgoing>& messages)
{
    for (const Membership::Outgoing& outgoing : messages)
        this->listener.sendToPeer(outgoing.to, outgoing.message);
}

void ControlPlane::refreshGates()
{
    this->areGatesStale = false;
    std::shared_ptr<const MemberList> members = this->membership.getMembers();
    this->listener.onMembers(members);
    std::shared_ptr<const Bundle> bundle = this->bundles.getBundle();
    if (bundle == nullptr)
        return;

    std::shared_ptr<const GateMap> newGates = std::make_shared<const GateMap>(*members, *bundle);
    this->recordGateMoves(*bundle, *newGates);
    this->gates = newGates;
    this->listener.onGates(newGates);
    this->watchers.refresh(*bundle, *newGates);
}

void ControlPlane::recordGateMoves(const Bundle& bundle, const GateMap& newGates)
{
    OwnGates::Moves moves = this->ownGates.update(bundle, newGates, this->settings.instance);
    WallTime now = this->dependencies.clock.wallNow();
    for (const UpstreamId& upstream : moves.opened) {
        logEvent(events::gateOpened, "upstream=" + upstream.toString());
        this->audit.add({ {}, AuditKind::GateMove, "", upstream.toString(), "members or bundle changed", "", "gate at " + this->settings.instance.toString() }, now);
    }
    for (const UpstreamId& upstream : moves.closed)
        logEvent(events::gateClosed, "upstream=" + upstream.toString());
}

void ControlPlane::fetchBundle(std::optional<BundleVersion> version)
{
    this->worker.submit([this, version](PlatformStore& store) {
        Failure failure;
        std::optional<SignedBundle> bundle = readBundle(store, version, failure);
        this->dependencies.loop.post([this, bundle] {
            if (bundle)
                this->bundles.offer(*bundle, "store");
        });
    });
}

void ControlPlane::fetchInitialState()
{
    this->worker.submit([this](PlatformStore& store) {
        Failure failure;
        std::optional<SignedBundle> bundle = readBundle(store, std::nullopt, failure);
        bool hasAnswered = bundle || failure.kind == Failure::Kind::NotFound;
        Failure leavingFailure;
        std::optional<StoreObject> leavingObject = store.get(storekeys::leavingUpstreams, leavingFailure);
        this->dependencies.loop.post([this, bundle, hasAnswered, leavingObject] {
            this->hasStoreAnswered = hasAnswered;
            if (bundle)
                this->bundles.offer(*bundle, "store");
            if (leavingObject)
                this->setLeavingUpstreams(parseUpstreamIds(leavingObject->value));
        });
    });
}

void ControlPlane::onBundleInForce(const std::string& source, BundleVersion before)
{
    BundleVersion version = this->bundles.getVersion();
    if (this->isZoneReader())
        this->audit.add({ {}, AuditKind::BundleInForce, "", "bundle", "received from " + source, std::to_string(before.value()), std::to_string(version.value()) }, this->dependencies.clock.wallNow());
    this->dependencies.metrics.setBundleVersion(static_cast<double>(version.value()));
    this->membership.setBundleVersion(version);
    this->listener.onBundle(this->bundles.getBundle());
    this->refreshGates();
    this->broadcaster.sendToRandomPeers(BundleNotice { version }, this->random);
}

void ControlPlane::sendBundleMessage(const InstanceId& to, PeerMessage message)
{
    this->listener.sendToPeer(to, std::move(message));
}

void ControlPlane::onPrimaryNotice(const InstanceId& from, const PrimaryNotice& notice)
{
    PrimaryHint& known = this->knownPrimaries[notice.database];
    if (notice.hint.term <= known.term)
        return;

    known = notice.hint;
    logEvent(events::primaryChanged, "database=" + notice.database.toString() + " primary=" + known.upstream.toString() + " term=" + std::to_string(known.term.value()));
    this->listener.onNewPrimary(notice.database, known);
    this->broadcaster.forward(from, notice);
    GroupWatcher* watcher = this->watchers.find(notice.database);
    if (watcher != nullptr)
        watcher->startFastProbing();
}

void ControlPlane::setLeavingUpstreams(const std::set<UpstreamId>& newLeaving)
{
    for (const UpstreamId& upstream : newLeaving) {
        if (this->leaving.count(upstream) == 0)
            logEvent(events::upstreamLeaving, "upstream=" + upstream.toString());
    }
    this->leaving = newLeaving;
    this->listener.onLeavingUpstreams(this->leaving);
}

void ControlPlane::checkReady()
{
    if (this->isReady || this->bundles.getBundle() == nullptr)
        return;

    bool hasStoreTimedOut = this->dependencies.clock.now() >= this->startedAt + storeTimeout;
    if (!this->hasStoreAnswered && !hasStoreTimedOut)
        return;
    this->isReady = true;
    logEvent(events::instanceReady, "bundle=" + std::to_string(this->bundles.getVersion().value()));
    this->listener.onReady();
}

} // namespace lentiljunction
