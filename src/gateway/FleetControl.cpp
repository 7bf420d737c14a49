#include "FleetControl.h"

#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/core/RendezvousHash.h"
#include "lentiljunction/leadership/LeadCodec.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// Three tries fit into a permit, so one lost answer is not noticed.
    constexpr std::chrono::milliseconds leadInterval { 400 };
    /// One instance of each zone reads the record from the store, and the others ask it. What it hands
    /// on must last until the next time; else the store is asked.
    constexpr std::chrono::milliseconds leastRelayedPermit { 800 };
    constexpr std::chrono::milliseconds readerAvoidance { 2000 };
    /// After a call to the store failed.
    constexpr std::chrono::milliseconds retryInterval { 200 };
    /// A watch is renewed this often: an open connection may be silent for good, and a new
    /// configuration has three seconds to come into force.
    constexpr std::chrono::milliseconds watchSpan { 2000 };
    /// Upstreams that leave have seconds until they must be spared.
    constexpr std::chrono::milliseconds upstreamInterval { 1000 };
    constexpr std::chrono::milliseconds memberInterval { 3000 };
    /// For an answer of another instance: some round trips between availability zones.
    constexpr std::chrono::milliseconds peerLimit { 150 };
    /// A change of primary that is not over by then has lost its holder.
    constexpr std::chrono::milliseconds stuckLimit { 3500 };
    /// A holder whose last answer of the store is older is taken to be cut off from it.
    constexpr std::chrono::milliseconds storeContactLimit { 1000 };
    /// For the answers of a vote to be handled after the last of them came in time.
    constexpr std::chrono::milliseconds voteSlack { 20 };
    /// A primary that could not be reached for longer ago counts as reached again.
    constexpr std::chrono::milliseconds opinionLifetime { 1500 };
    /// Between the instances that may take the duty over, so that the first is usually alone.
    constexpr std::chrono::milliseconds takeoverStep { 150 };

    /// What instances are ordered by for the duty to replace primaries.
    const std::string dutyName = "duty";

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
    , permits(settings.instance)
    , turn(settings.instance)
{
}

bool FleetControl::start(Failure& failure)
{
    if (!this->peers.listen(this->settings.peers, failure))
        return false;
    this->parts.controlLoop.post([this] {
        // Whoever replaces a primary asks all that are registered, so nobody may hold a permit before.
        this->registerSelf();
        this->readRoutes();
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

std::optional<FleetMember> FleetControl::findZoneReader() const
{
    const VersionedLead& lead = this->permits.getView().lead;
    // The holder acts on what it reads, so it reads itself.
    if (lead.record == nullptr || lead.record->holder == this->settings.instance)
        return std::nullopt;
    std::optional<FleetMember> reader;
    std::uint64_t best = 0;
    for (const FleetMember& member : this->listActiveMembers()) {
        std::uint64_t score = rendezvousScore(this->settings.zone.toString(), member.id.toString());
        if (member.zone != this->settings.zone || score < best)
            continue;
        best = score;
        reader = member;
    }
    if (reader && reader->id == this->settings.instance)
        return std::nullopt;
    return reader;
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
    std::optional<FleetMember> reader = this->findZoneReader();
    if (!reader || this->parts.clock.now() < this->readerAvoidedUntil)
        return this->readLead();
    BootTime sentAt = this->parts.clock.bootNow();
    this->peers.ask(reader->peers, { { "ask", "beliefs" } }, peerLimit, [this, sentAt](const std::optional<nlohmann::json>& answer) {
        if (answer) {
            this->onPeerBelief(*answer, sentAt);
            this->takeProofs(*answer, sentAt);
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

void FleetControl::onLeadSeen(const VersionedLead& lead, BootTime sentAt)
{
    this->storeAnsweredAt = this->parts.clock.bootNow();
    this->publishLead(this->permits.onStoreAnswer(lead, sentAt));
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
        return this->checkStuckChanges();
    }
    this->parts.trafficLoop.post([this, view] { this->parts.traffic.extendPermit(view); });
    this->checkStuckChanges();
}

void FleetControl::noteRetired()
{
    const VersionedLead& lead = this->permits.getView().lead;
    BootTime now = this->parts.clock.bootNow();
    this->turn.onRecord(*lead.record, lead.revision, now);
    for (std::map<InstanceId, BootTime>::iterator known = this->retiredSince.begin(); known != this->retiredSince.end();)
        known = lead.record->retired.count(known->first) > 0 ? std::next(known) : this->retiredSince.erase(known);
    for (const InstanceId& instance : lead.record->retired)
        this->retiredSince.emplace(instance, now);
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

bool FleetControl::isLongRetired(const InstanceId& instance) const
{
    std::map<InstanceId, BootTime>::const_iterator since = this->retiredSince.find(instance);
    return since != this->retiredSince.end() && this->parts.clock.bootNow() - since->second >= permitSpan + permitMargin;
}

std::vector<FleetMember> FleetControl::listActiveMembers() const
{
    std::vector<FleetMember> active;
    for (const std::pair<const InstanceId, FleetMember>& member : this->members) {
        if (this->retiredSince.count(member.first) == 0)
            active.push_back(member.second);
    }
    return active;
}

void FleetControl::confirmTraffic(std::function<void()> callback)
{
    // Tasks run in order, so the belief that was posted before is in force when this one runs.
    this->parts.trafficLoop.post([this, callback = std::move(callback)] { this->parts.controlLoop.post(callback); });
}

void FleetControl::askPeersForLead()
{
    std::vector<Endpoint> known;
    for (const std::pair<const InstanceId, FleetMember>& member : this->members) {
        if (member.first != this->settings.instance)
            known.push_back(member.second.peers);
    }
    if (known.empty())
        known = this->settings.seeds;
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

void FleetControl::readRoutes()
{
    this->parts.store.readRoutes([this](const std::optional<VersionedRoutes>& read, const Failure& failure) {
        if (read) {
            this->takeRoutes(*read);
            return this->watchRoutes();
        }
        logEvent(events::storeCallFailed, "call=read_routes reason=\"" + failure.reason + "\"");
        this->parts.controlLoop.schedule(retryInterval, [this] { this->readRoutes(); });
    });
}

void FleetControl::watchRoutes()
{
    this->parts.store.watchRoutes(this->routesRevision, watchSpan, [this](const std::optional<VersionedRoutes>& read, const Failure& failure) {
        if (!read) {
            logEvent(events::storeCallFailed, "call=watch_routes reason=\"" + failure.reason + "\"");
            this->parts.controlLoop.schedule(retryInterval, [this] { this->readRoutes(); });
            return;
        }
        this->takeRoutes(*read);
        this->watchRoutes();
    });
}

void FleetControl::takeRoutes(const VersionedRoutes& read)
{
    this->routesRevision = std::max(this->routesRevision, read.revision);
    if (read.table == nullptr || !this->routes.offer(read.table))
        return;
    logEvent(events::routesInForce, "routes_version=" + std::to_string(read.table->version.value()) + " routes=" + std::to_string(read.table->routes.size()));
    this->parts.trafficLoop.post([this, table = read.table] { this->parts.traffic.setRoutes(table); });
    this->updateReady();
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
            this->checkLeaders();
        } else {
            logEvent(events::storeCallFailed, "call=list_upstreams reason=\"" + failure.reason + "\"");
        }
        this->parts.controlLoop.schedule(list ? upstreamInterval : retryInterval, [this] { this->listUpstreams(); });
    });
}

void FleetControl::listMembers()
{
    this->parts.store.listMembers(false, [this](const std::optional<std::vector<FleetMember>>& list, const Failure&) {
        if (list) {
            this->members.clear();
            for (const FleetMember& member : *list)
                this->members[member.id] = member;
            std::size_t number = std::max<std::size_t>(1, this->members.size());
            this->parts.trafficLoop.post([this, number] { this->parts.traffic.setNumInstances(number); });
        }
        this->parts.controlLoop.schedule(memberInterval, [this] { this->listMembers(); });
    });
}

void FleetControl::updateReady()
{
    bool isComplete = this->routes.getTable() != nullptr && this->hasListedUpstreams && this->permits.getView().lead.record != nullptr;
    if (isComplete && !this->ready.exchange(true))
        logEvent(events::instanceReady, "routes_version=" + std::to_string(this->routes.getTable()->version.value()));
}

void FleetControl::checkLeaders()
{
    if (this->routes.getTable() == nullptr)
        return;
    const UpstreamList& list = *this->upstreams.getList();
    for (const std::pair<const GroupId, GroupConfig>& group : this->routes.getTable()->groups) {
        std::optional<Leader> leader = this->permits.getView().findLeader(group.first, list);
        if (!leader)
            continue;
        const UpstreamEntry* entry = list.find(leader->upstream);
        if (entry == nullptr || entry->isLeaving)
            this->reportTrouble(group.first, leader->upstream, true);
    }
}

void FleetControl::checkStuckChanges()
{
    const LeadView& view = this->permits.getView();
    if (view.lead.record == nullptr)
        return;
    TimePoint now = this->parts.clock.now();
    for (const std::pair<const GroupId, GroupLead>& group : view.lead.record->groups) {
        if (group.second.phase == LeadPhase::Stable) {
            this->changingSince.erase(group.first);
            continue;
        }
        std::pair<FencingToken, TimePoint>& since = this->changingSince.emplace(group.first, std::make_pair(view.lead.record->epoch, now)).first->second;
        if (since.first != view.lead.record->epoch)
            since = { view.lead.record->epoch, now };
        if (this->failovers.isActive(group.first))
            continue;
        // After its own restart a holder has forgotten the change that it began.
        if (view.lead.record->holder == this->settings.instance)
            this->failovers.start(group.first, group.second.primary, false, "resumed after a restart");
        else if (now - since.second >= stuckLimit + this->getTakeoverDelay())
            this->takeOver(group.first, group.second.primary, true);
    }
}

void FleetControl::onPrimaryUnreachable(const GroupId& group, const UpstreamId& primary)
{
    this->parts.controlLoop.post([this, group, primary] {
        this->unreachableAt[primary] = this->parts.clock.now();
        this->reportTrouble(group, primary, false);
    });
}

void FleetControl::reportTrouble(const GroupId& group, const UpstreamId& primary, bool isLeaving)
{
    const LeadView& view = this->permits.getView();
    if (view.lead.record == nullptr || view.isChanging(group))
        return;
    if (view.lead.record->holder == this->settings.instance)
        return this->consider(group, primary, this->settings.instance, isLeaving);

    std::map<InstanceId, FleetMember>::const_iterator holder = this->members.find(view.lead.record->holder);
    if (holder == this->members.end())
        return this->onHolderSilent(group, primary, isLeaving);
    nlohmann::json question { { "ask", "suspect" }, { "group", group.toString() }, { "primary", primary.toString() }, { "reporter", this->settings.instance.toString() }, { "is_leaving", isLeaving } };
    this->peers.ask(holder->second.peers, question, peerLimit, [this, group, primary, isLeaving](const std::optional<nlohmann::json>& answer) {
        bool isTaken = answer && answer->is_object() && answer->value("is_taken", false);
        if (!isTaken)
            this->onHolderSilent(group, primary, isLeaving);
    });
}

Duration FleetControl::getTakeoverDelay() const
{
    // One order for all groups: the duty is one, and two that take it for two groups disturb each other.
    std::uint64_t own = rendezvousScore(dutyName, this->settings.instance.toString());
    std::vector<FleetMember> active = this->listActiveMembers();
    std::ptrdiff_t order = std::count_if(active.begin(), active.end(), [own](const FleetMember& member) {
        return rendezvousScore(dutyName, member.id.toString()) > own;
    });
    return takeoverStep * static_cast<int>(order);
}

void FleetControl::onHolderSilent(const GroupId& group, const UpstreamId& primary, bool isLeaving)
{
    InstanceId silent = this->permits.getView().lead.record->holder;
    // Whoever takes the duty over needs the store, and the newest record.
    this->readLead();
    this->parts.controlLoop.schedule(this->getTakeoverDelay(), [this, group, primary, isLeaving, silent] {
        std::optional<Leader> leader = this->permits.getView().findLeader(group, *this->upstreams.getList());
        if (!leader || leader->upstream != primary)
            return;
        if (this->permits.getView().lead.record->holder != silent)
            return this->reportTrouble(group, primary, isLeaving);
        this->takeOver(group, primary, isLeaving);
    });
}

void FleetControl::takeOver(const GroupId& group, const UpstreamId& primary, bool isLeaving)
{
    bool hasStore = this->parts.clock.bootNow() - this->storeAnsweredAt < storeContactLimit;
    if (!hasStore || this->failovers.isActive(group) || this->failovers.isUnfit() || !this->votes.insert(group).second)
        return;
    InstanceId former = this->permits.getView().lead.record->holder;
    this->holdVote(group, primary, [this, group, primary, isLeaving, former](const TakeoverVote& vote) {
        this->votes.erase(group);
        if (this->permits.getView().lead.record->holder != former)
            return;
        logEvent(events::primarySuspected, "group=" + group.toString() + " primary=" + primary.toString() + " answers=" + std::to_string(vote.getNumAnswers()) + " agreeing=" + std::to_string(vote.getNumAgreeing()) + " instances=" + std::to_string(this->members.size()) + " take_over=" + std::to_string(vote.isWon()));
        if (vote.isWon())
            this->failovers.start(group, primary, isLeaving && this->upstreams.getList()->find(primary) != nullptr, "its holder is silent");
    });
}

void FleetControl::holdVote(const GroupId& group, const UpstreamId& primary, std::function<void(const TakeoverVote& vote)> callback)
{
    std::vector<FleetMember> active = this->listActiveMembers();
    std::shared_ptr<TakeoverVote> vote = std::make_shared<TakeoverVote>(std::max<std::size_t>(1, active.size()));
    std::shared_ptr<std::function<void(const TakeoverVote&)>> pending = std::make_shared<std::function<void(const TakeoverVote&)>>(std::move(callback));
    auto close = [vote, pending] {
        std::function<void(const TakeoverVote&)> done = std::exchange(*pending, nullptr);
        if (done)
            done(*vote);
    };
    nlohmann::json question { { "ask", "opinion" }, { "group", group.toString() }, { "primary", primary.toString() } };
    for (const FleetMember& member : active) {
        if (member.id == this->settings.instance)
            continue;
        this->peers.ask(member.peers, question, peerLimit, [vote, close](const std::optional<nlohmann::json>& answer) {
            if (answer && answer->is_object())
                vote->onAnswer(answer->value("has_lost", false));
            if (vote->isWon())
                close();
        });
    }
    this->parts.controlLoop.schedule(peerLimit + voteSlack, close);
}

bool FleetControl::hasLost(const GroupId& group, const UpstreamId& primary) const
{
    const UpstreamEntry* entry = this->upstreams.getList()->find(primary);
    if (entry == nullptr || entry->isLeaving || this->permits.getView().isChanging(group))
        return true;
    std::map<UpstreamId, TimePoint>::const_iterator lost = this->unreachableAt.find(primary);
    return lost != this->unreachableAt.end() && this->parts.clock.now() - lost->second < opinionLifetime;
}

void FleetControl::consider(const GroupId& group, const UpstreamId& primary, const InstanceId& reporter, bool isLeaving)
{
    std::optional<Leader> leader = this->permits.getView().findLeader(group, *this->upstreams.getList());
    if (!leader || leader->upstream != primary || this->failovers.isActive(group))
        return;
    // Whoever reports that it leaves has read a newer list.
    if (isLeaving)
        return this->failovers.start(group, primary, this->upstreams.getList()->find(primary) != nullptr, "the primary leaves");

    TimePoint now = this->parts.clock.now();
    this->suspicions.report(primary, reporter, now);
    bool mustReplace = this->suspicions.mustReplace(primary, this->listActiveMembers().size(), now);
    logEvent(events::primarySuspected, "group=" + group.toString() + " primary=" + primary.toString() + " reporter=" + reporter.toString() + " reporters=" + std::to_string(this->suspicions.countReporters(primary, now)) + " instances=" + std::to_string(this->members.size()) + " replace=" + std::to_string(mustReplace));
    if (!mustReplace)
        return;
    this->suspicions.clear(primary);
    this->failovers.start(group, primary, false, "the primary cannot be reached");
}

nlohmann::json FleetControl::makeBeliefAnswer() const
{
    const LeadView& view = this->permits.getView();
    if (view.lead.record == nullptr)
        return nlohmann::json::object();
    return {
        { "record", encodeLeadRecord(*view.lead.record) },
        { "revision", view.lead.revision.value() },
        { "permit_us", this->permits.getRemaining(this->parts.clock.bootNow()).count() },
    };
}

void FleetControl::answerBeliefs(const PeerExchange::Responder& respond)
{
    this->parts.trafficLoop.post([this, respond] {
        std::vector<PositionProofs::Newest> proofs = this->parts.traffic.listNewestProofs();
        this->parts.controlLoop.post([this, respond, proofs = std::move(proofs)] {
            nlohmann::json answer = this->makeBeliefAnswer();
            BootTime now = this->parts.clock.bootNow();
            answer["proofs"] = nlohmann::json::array();
            for (const PositionProofs::Newest& proof : proofs) {
                Duration age = std::chrono::duration_cast<Duration>(now - proof.askedAt);
                answer["proofs"].push_back({ proof.group.toString(), proof.generation, age.count(), proof.head.term.value(), proof.head.position.value() });
            }
            respond(answer);
        });
    });
}

void FleetControl::takeProofs(const nlohmann::json& answer, BootTime sentAt)
{
    if (!answer.is_object() || !answer.contains("proofs") || !answer["proofs"].is_array())
        return;
    constexpr std::size_t numFields = 5;
    std::vector<PositionProofs::Newest> proofs;
    for (const nlohmann::json& proof : answer["proofs"]) {
        bool isWhole = proof.is_array() && proof.size() == numFields && proof[0].is_string()
            && std::all_of(proof.begin() + 1, proof.end(), [](const nlohmann::json& field) { return field.is_number_unsigned(); });
        if (!isWhole)
            return logEvent(events::peerMessageInvalid, "reason=\"a proof of age cannot be read\"");
        // The answer was made after the question was sent, so this is no later than the proof's time.
        BootTime askedAt = sentAt - Duration(proof[2].get<Duration::rep>());
        proofs.push_back({ GroupId(proof[0].get<std::string>()), proof[1].get<std::uint64_t>(), askedAt, { Term(proof[3].get<std::uint64_t>()), Position(proof[4].get<std::uint64_t>()) } });
    }
    this->parts.trafficLoop.post([this, proofs = std::move(proofs)] { this->parts.traffic.takeProofs(proofs); });
}

void FleetControl::onTakeLead(const nlohmann::json& question, const PeerExchange::Responder& respond)
{
    // The sender's permit was measured before its message travelled, so it may not be counted from now.
    nlohmann::json belief = question;
    belief["permit_us"] = 0;
    this->onPeerBelief(belief, this->parts.clock.bootNow());
    std::uint64_t revision = this->permits.getView().lead.revision.value();
    this->confirmTraffic([this, respond, revision] {
        this->failovers.whenCallsEnded([respond, revision] { respond({ { "applied", revision } }); });
    });
}

void FleetControl::onSuspect(const nlohmann::json& question, const PeerExchange::Responder& respond)
{
    const VersionedLead& lead = this->permits.getView().lead;
    bool isHolder = lead.record != nullptr && lead.record->holder == this->settings.instance;
    // A holder that does not reach the store, or the promotion service, can replace nobody.
    bool hasStore = this->parts.clock.bootNow() - this->storeAnsweredAt < storeContactLimit;
    bool isTaken = isHolder && hasStore && !this->failovers.isUnfit();
    respond({ { "is_taken", isTaken } });
    if (isTaken)
        this->consider(GroupId(question.value("group", "")), UpstreamId(question.value("primary", "")), InstanceId(question.value("reporter", "")), question.value("is_leaving", false));
}

void FleetControl::onPeerQuestion(const nlohmann::json& question, const PeerExchange::Responder& respond)
{
    std::string ask = question.is_object() ? question.value("ask", "") : "";
    if (ask == "beliefs")
        return this->answerBeliefs(respond);
    if (ask == "take_lead")
        return this->onTakeLead(question, respond);
    if (ask == "suspect")
        return this->onSuspect(question, respond);
    if (ask == "opinion")
        return respond({ { "has_lost", this->hasLost(GroupId(question.value("group", "")), UpstreamId(question.value("primary", ""))) } });
    logEvent(events::peerMessageInvalid, "reason=\"an unknown question\"");
}

} // namespace lentiljunction
