#include "FleetControl.h"

#include "ProofCodec.h"

#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/fleet/ZoneReader.h"
#include "lentiljunction/leadership/LeadCodec.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// Three tries fit into a lease, so one lost answer is not noticed.
    constexpr std::chrono::milliseconds leadInterval { 400 };
    /// One instance of each zone reads the record from the store, and the others ask it. What it hands
    /// on must last until the next time; else the store is asked.
    constexpr std::chrono::milliseconds leastRelayedPermit { 800 };
    constexpr std::chrono::milliseconds readerAvoidance { 2000 };
    /// After a call to the store failed.
    constexpr std::chrono::milliseconds retryInterval { 200 };
    /// Upstreams that leave have seconds until they must be spared.
    constexpr std::chrono::milliseconds upstreamInterval { 1000 };
    constexpr std::chrono::milliseconds memberInterval { 3000 };
    /// The same after the start, for the time in which a fleet that starts as a whole is complete.
    constexpr std::chrono::milliseconds quickMemberInterval { 400 };
    constexpr int quickMemberLists = 3;
    /// For an answer of another instance: some round trips between availability zones.
    constexpr std::chrono::milliseconds peerLimit { 150 };
    /// A holder whose last answer of the store is older is taken to be cut off from it.
    constexpr std::chrono::milliseconds storeContactLimit { 1000 };

    std::int64_t toMilliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

} // namespace

FleetControl::FleetControl(const Parts& parts, const GatewaySettings& settings)
    : parts(parts)
    , settings(settings)
    , peers(parts.controlLoop, parts.clock, *this)
    , writer(parts.store, parts.controlLoop, parts.clock, settings.instance, *this)
    , commander(parts.controlLoop, parts.clock, parts.protocol, settings.instance)
    , failovers({ parts.controlLoop, parts.clock, parts.store, this->peers, this->writer, this->commander, *this, settings.instance })
    , duty({ parts.controlLoop, parts.clock, this->peers, this->failovers, settings.instance }, *this)
    , permits(settings.instance)
    , routes(parts.controlLoop, parts.clock, parts.store, *this)
    , audit(parts.controlLoop, parts.clock, parts.store, settings.instance)
    , turn(settings.instance)
{
}

bool FleetControl::start(Failure& failure)
{
    if (!this->peers.listen(this->settings.peers, failure))
        return false;
    this->parts.controlLoop.post([this] {
        // Whoever replaces a primary asks all that are registered, so nobody may hold a lease before.
        this->registerSelf();
        this->routes.start();
        this->listUpstreams();
        this->listMembers();
    });
    return true;
}

void FleetControl::registerSelf()
{
    this->parts.store.registerMember({ this->settings.instance, this->settings.zone, this->settings.peers }, [this](const std::optional<bool>& isDone, const Failure& failure) {
        if (isDone)
            return this->renewLead();
        logEvent(events::storeCallFailed, "call=register reason=\"" + failure.reason + "\"");
        this->parts.controlLoop.schedule(retryInterval, [this] { this->registerSelf(); });
    });
}

std::optional<FleetMember> FleetControl::findOtherReader() const
{
    const VersionedLead& lead = this->permits.getView().lead;
    // The holder acts on what it reads, so it reads itself.
    if (lead.record == nullptr || lead.record->holder == this->settings.instance)
        return std::nullopt;
    std::optional<FleetMember> reader = chooseZoneReader(this->listActiveMembers(), this->settings.zone);
    return reader && reader->id != this->settings.instance ? reader : std::nullopt;
}

void FleetControl::scheduleRenewal(Duration delay)
{
    if (std::exchange(this->isRenewalScheduled, true))
        return;
    this->parts.controlLoop.schedule(delay, [this] {
        this->isRenewalScheduled = false;
        this->renewLead();
    });
}

void FleetControl::renewLead()
{
    std::optional<FleetMember> reader = this->findOtherReader();
    if (!reader || this->parts.clock.now() < this->readerAvoidedUntil)
        return this->readLead();
    BootTime sentAt = this->parts.clock.bootNow();
    this->peers.ask(reader->peers, { { "ask", "beliefs" } }, peerLimit, [this, sentAt, endpoint = reader->peers](const std::optional<nlohmann::json>& answer) {
        if (answer) {
            this->onPeerBelief(*answer, sentAt);
            this->takeProofs(*answer, sentAt);
            this->onRelayedCurrency(*answer, endpoint, sentAt);
        } else {
            this->readerAvoidedUntil = this->parts.clock.now() + readerAvoidance;
        }
        if (!answer || this->permits.getRemaining(this->parts.clock.bootNow()) < leastRelayedPermit)
            return this->readLead();
        this->scheduleRenewal(leadInterval);
    });
}

void FleetControl::readLead()
{
    BootTime sentAt = this->parts.clock.bootNow();
    this->parts.store.readLead([this, sentAt](const std::optional<VersionedLead>& lead, const Failure& failure) { this->onLeadRead(lead, failure, sentAt); });
}

void FleetControl::onLeadRead(const std::optional<VersionedLead>& lead, const Failure& failure, BootTime sentAt)
{
    if (lead) {
        this->writer.setBase(*lead);
        this->onLeadSeen(*lead, sentAt);
    } else if (failure.kind == Failure::Kind::NotFound) {
        this->createLead();
    } else {
        logEvent(events::storeCallFailed, "call=read_lead reason=\"" + failure.reason + "\" permit_ms=" + std::to_string(toMilliseconds(this->permits.getRemaining(this->parts.clock.bootNow()))));
        this->askPeersForLead();
        this->publishLead(false);
    }
    this->scheduleRenewal(lead ? leadInterval : retryInterval);
}

void FleetControl::createLead()
{
    this->writer.submit(
        [this](LeadRecord& record) {
            if (!record.holder.isEmpty())
                return false;
            record.holder = this->settings.instance;
            record.epoch = FencingToken(1);
            return true;
        },
        [](bool, BootTime) {});
}

void FleetControl::publishLead(bool isNewer)
{
    LeadView view = this->permits.getView();
    if (view.lead.record != nullptr)
        this->noteRetired();
    bool isPermitted = view.isPermitted(this->parts.clock.bootNow());
    if (isPermitted != this->wasPermitted)
        logEvent(isPermitted ? events::permitRegained : events::permitLost, "lead_revision=" + std::to_string(view.lead.revision.value()));
    this->wasPermitted = isPermitted;
    if (view.lead.record == nullptr)
        return;
    if (isNewer) {
        logEvent(events::leadBelieved, "lead_revision=" + std::to_string(view.lead.revision.value()) + " holder=" + view.lead.record->holder.toString() + " epoch=" + std::to_string(view.lead.record->epoch.value()) + " groups=" + encodeLeadRecord(*view.lead.record)["groups"].dump());
        this->parts.trafficLoop.post([this, view] { this->parts.traffic.setLead(view); });
        this->updateReady();
        return this->duty.checkStuckChanges();
    }
    this->parts.trafficLoop.post([this, view] { this->parts.traffic.extendPermit(view); });
    this->duty.checkStuckChanges();
}

void FleetControl::noteRetired()
{
    const VersionedLead& lead = this->permits.getView().lead;
    BootTime now = this->parts.clock.bootNow();
    this->turn.onRecord(*lead.record, lead.revision, now);
    this->members.noteRetired(lead.record->retired, now);
    if (this->permits.isRetired())
        this->returnToService();
}

void FleetControl::returnToService()
{
    if (std::exchange(this->isReturning, true))
        return;
    this->writer.submit([this](LeadRecord& record) { return record.retired.erase(this->settings.instance) > 0; }, [this](bool isWritten, BootTime) {
        this->isReturning = false;
        logEvent(events::instanceReturned, "written=" + std::to_string(isWritten) + " lead_revision=" + std::to_string(this->permits.getView().lead.revision.value())); });
}

bool FleetControl::hasStore() const
{
    return this->parts.clock.bootNow() - this->storeAnsweredAt < storeContactLimit;
}

void FleetControl::confirmTraffic(std::function<void()> callback)
{
    // Tasks run in order, so the belief that was posted before is in force when this one runs.
    this->parts.trafficLoop.post([this, callback = std::move(callback)] { this->parts.controlLoop.post(callback); });
}

void FleetControl::askPeersForLead()
{
    std::vector<Endpoint> known = this->members.listOthers(this->settings.instance);
    known = known.empty() ? this->settings.seeds : known;
    if (known.empty())
        return;
    // Another one each time, since the first may be cut off from the store as well.
    const Endpoint& peer = known[this->nextPeer++ % known.size()];
    BootTime sentAt = this->parts.clock.bootNow();
    this->peers.ask(peer, { { "ask", "beliefs" } }, peerLimit, [this, sentAt](const std::optional<nlohmann::json>& answer) {
        if (answer)
            this->onPeerBelief(*answer, sentAt);
    });
}

void FleetControl::onPeerBelief(const nlohmann::json& answer, BootTime sentAt)
{
    if (!answer.is_object() || !answer.contains("record") || !answer.contains("revision") || !answer.contains("permit_us"))
        return;
    Failure failure;
    std::optional<LeadRecord> record = decodeLeadRecord(answer["record"], failure);
    if (!record || !answer["revision"].is_number_unsigned() || !answer["permit_us"].is_number_integer())
        return logEvent(events::peerMessageInvalid, "reason=\"" + failure.reason + "\"");
    VersionedLead lead { std::make_shared<LeadRecord>(std::move(*record)), StoreVersion(answer["revision"].get<std::uint64_t>()) };
    this->writer.setBase(lead);
    this->publishLead(this->permits.onPeerAnswer(lead, Duration(answer["permit_us"].get<std::int64_t>()), sentAt));
}

void FleetControl::onRoutesInForce(const std::shared_ptr<const RouteTable>& table)
{
    this->parts.trafficLoop.post([this, table] { this->parts.traffic.setRoutes(table); });
    this->updateReady();
}

void FleetControl::onRelayedCurrency(const nlohmann::json& answer, const Endpoint& reader, BootTime sentAt)
{
    std::optional<RouteCurrency> currency = decodeCurrency(answer);
    if (!currency || !this->routes.onRelayed(*currency, sentAt))
        return;
    this->peers.ask(reader, { { "ask", "routes" } }, peerLimit, [this](const std::optional<nlohmann::json>& relayed) {
        if (!relayed)
            return;
        Failure failure;
        std::optional<RouteTable> table = decodeRelayedRoutes(*relayed, failure);
        if (!table)
            return logEvent(events::peerMessageInvalid, "reason=\"" + failure.reason + "\"");
        this->routes.offer(std::make_shared<RouteTable>(std::move(*table)));
    });
}

void FleetControl::listUpstreams()
{
    this->parts.store.listUpstreams([this](const std::optional<std::shared_ptr<const UpstreamList>>& list, const Failure& failure) {
        if (list) {
            std::vector<std::string> changes = this->upstreams.offer(**list, this->parts.clock.now());
            for (const std::string& change : changes)
                logEvent(events::upstreamListed, change);
            if (!changes.empty())
                this->parts.trafficLoop.post([this, kept = this->upstreams.getList()] { this->parts.traffic.setUpstreams(kept); });
            this->hasListedUpstreams = true;
            this->updateReady();
            this->duty.checkLeaders();
        } else {
            logEvent(events::storeCallFailed, "call=list_upstreams reason=\"" + failure.reason + "\"");
        }
        this->parts.controlLoop.schedule(list ? upstreamInterval : retryInterval, [this] { this->listUpstreams(); });
    });
}

void FleetControl::listMembers()
{
    this->parts.store.listMembers(false, [this](const std::optional<std::vector<FleetMember>>& list, const Failure& failure) {
        if (!list)
            logEvent(events::storeCallFailed, "call=list_members reason=\"" + failure.reason + "\"");
        if (list) {
            this->members.setMembers(*list);
            std::size_t number = std::max<std::size_t>(1, this->members.getSize());
            this->parts.trafficLoop.post([this, number] { this->parts.traffic.setNumInstances(number); });
        }
        // Instances that start together do not find each other in the first list.
        Duration next = this->numMemberLists++ < quickMemberLists ? Duration(quickMemberInterval) : Duration(memberInterval);
        this->parts.controlLoop.schedule(next, [this] { this->listMembers(); });
    });
}

void FleetControl::updateReady()
{
    bool isComplete = this->routes.getTable() != nullptr && this->hasListedUpstreams && this->permits.getView().lead.record != nullptr;
    if (isComplete && !this->ready.exchange(true))
        logEvent(events::instanceReady, "routes_version=" + std::to_string(this->routes.getTable()->version.value()));
}

GatewayMetrics::Beliefs FleetControl::getBeliefs() const
{
    GatewayMetrics::Beliefs beliefs;
    const LeadView& view = this->permits.getView();
    if (this->routes.getTable() != nullptr)
        beliefs.routesVersion = this->routes.getTable()->version.value();
    if (view.lead.record != nullptr) {
        beliefs.primaryRevision = view.lead.revision.value();
        beliefs.epoch = view.lead.record->epoch.value();
        beliefs.isFailoverCoordinator = view.lead.record->holder == this->settings.instance;
    }
    beliefs.lease = this->permits.getRemaining(this->parts.clock.bootNow());
    beliefs.numInstances = this->members.getSize();
    beliefs.numUpstreams = this->upstreams.getList()->entries.size();
    beliefs.numPeerBytes = this->peers.getNumBytesSent();
    return beliefs;
}

nlohmann::json FleetControl::makeBeliefAnswer() const
{
    nlohmann::json answer = nlohmann::json::object();
    if (std::optional<RouteCurrency> currency = this->routes.getCurrency())
        answer["routes"] = encodeCurrency(*currency);
    const LeadView& view = this->permits.getView();
    if (view.lead.record == nullptr)
        return answer;
    answer["record"] = encodeLeadRecord(*view.lead.record);
    answer["revision"] = view.lead.revision.value();
    answer["permit_us"] = this->permits.getRemaining(this->parts.clock.bootNow()).count();
    return answer;
}

void FleetControl::answerBeliefs(const PeerExchange::Responder& respond)
{
    this->parts.trafficLoop.post([this, respond] {
        std::vector<PositionProofs::Newest> proofs = this->parts.traffic.listNewestProofs();
        this->parts.controlLoop.post([this, respond, proofs = std::move(proofs)] {
            nlohmann::json answer = this->makeBeliefAnswer();
            answer["proofs"] = encodeProofs(proofs, this->parts.clock.bootNow());
            respond(answer);
        });
    });
}

void FleetControl::takeProofs(const nlohmann::json& answer, BootTime sentAt)
{
    if (!answer.is_object() || !answer.contains("proofs"))
        return;
    std::optional<std::vector<PositionProofs::Newest>> proofs = decodeProofs(answer["proofs"], sentAt);
    if (!proofs)
        return logEvent(events::peerMessageInvalid, "reason=\"proofs of age cannot be read\"");
    this->parts.trafficLoop.post([this, taken = std::move(*proofs)] { this->parts.traffic.takeProofs(taken); });
}

void FleetControl::onTakeLead(const nlohmann::json& question, const PeerExchange::Responder& respond)
{
    // The sender's lease was measured before its message travelled, so it may not be counted from now.
    nlohmann::json belief = question;
    belief["permit_us"] = 0;
    this->onPeerBelief(belief, this->parts.clock.bootNow());
    std::uint64_t revision = this->permits.getView().lead.revision.value();
    this->confirmTraffic([this, respond, revision] {
        this->failovers.whenCallsEnded([respond, revision] { respond({ { "applied", revision } }); });
    });
}

void FleetControl::onPeerQuestion(const nlohmann::json& question, const PeerExchange::Responder& respond)
{
    std::string ask = question.is_object() ? question.value("ask", "") : "";
    if (ask == "beliefs")
        return this->answerBeliefs(respond);
    if (ask == "routes" && this->routes.getTable() != nullptr)
        return respond(encodeRelayedRoutes(*this->routes.getTable()));
    if (ask == "take_lead")
        return this->onTakeLead(question, respond);
    if (ask == "suspect")
        return this->duty.onSuspect(question, respond);
    if (ask == "opinion")
        return respond(this->duty.giveOpinion(question));
    logEvent(events::peerMessageInvalid, "reason=\"an unknown question\"");
}

} // namespace lentiljunction
