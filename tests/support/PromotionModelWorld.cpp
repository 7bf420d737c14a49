#include "PromotionModel.h"

#include "lentiljunction/leadership/PrimaryVerification.h"
#include "lentiljunction/leadership/RecordRecovery.h"

#include <algorithm>

// The record changes, the platform, the upstreams and the writes of PromotionModel.

namespace lentiljunction::tests {

namespace {

    const GroupId group("g");
    constexpr std::chrono::milliseconds minimumPromotionLease { 400 };

    bool isRecorded(const VersionedPrimaryRecord& known, const InstanceId& self, const UpstreamId& upstream)
    {
        const PrimaryEntry* entry = known.record->find(group);
        return known.record->coordinator == self && entry->phase == PrimaryPhase::Changing && hasOpenPromotion(*entry, upstream, known.record->epoch);
    }

    void removeAllEnded(const OpenPromotionTracker& tracker, PrimaryEntry& entry, BootTime now)
    {
        std::vector<OpenPromotion>& open = entry.openPromotions;
        open.erase(std::remove_if(open.begin(), open.end(), [&](const OpenPromotion& promotion) { return tracker.hasEnded(group, promotion, now); }), open.end());
    }

} // namespace

bool PromotionModel::change(const Instance& instance, const Failover::Action& action, PrimaryRecord& record) const
{
    if (action.kind == Failover::Action::Kind::WriteChanging)
        return this->changeToChanging(instance, record);
    if (action.kind == Failover::Action::Kind::WriteStable)
        return this->changeToStable(instance, action.upstream, record);
    PrimaryEntry& entry = record.groups[group];
    if (record.coordinator != instance.id || entry.phase != PrimaryPhase::Changing)
        return false;
    addOpenPromotion(entry, action.upstream, record.epoch);
    return true;
}

bool PromotionModel::changeToChanging(const Instance& instance, PrimaryRecord& record) const
{
    const Failover& failover = instance.run->failover;
    PrimaryEntry& entry = record.groups[group];
    if (!failover.mayAnnounce(this->clock.now()) || entry.primary != failover.getOldPrimary())
        return false;
    if (record.coordinator != instance.id) {
        record.coordinator = instance.id;
        record.epoch = record.epoch.next();
    }
    entry.phase = PrimaryPhase::Changing;
    removeEndedOfPrimary(group, entry, instance.leases->getOpenPromotions(), this->clock.bootNow());
    if (this->options.removesEndedInFailover)
        removeAllEnded(instance.leases->getOpenPromotions(), entry, this->clock.bootNow());
    if (this->options.forgetsEarlierCalls)
        entry.openPromotions.clear();
    return true;
}

bool PromotionModel::changeToStable(const Instance& instance, const UpstreamId& primary, PrimaryRecord& record) const
{
    if (record.coordinator != instance.id)
        return false;
    const ReplicationStatus& status = instance.run->failover.getNewPrimaryStatus();
    std::set<UpstreamId> refused = instance.run->failover.listRefusedPromotions();
    if (this->options.closesRefusedCalls)
        refused.insert(instance.run->refused.begin(), instance.run->refused.end());
    PrimaryEntry& entry = record.groups[group];
    if (this->options.removesEndedInFailover)
        removeAllEnded(instance.leases->getOpenPromotions(), entry, this->clock.bootNow());
    removeRefusedPromotions(entry, record.epoch, refused);
    if (entry.phase == PrimaryPhase::Changing)
        entry.generation = computeNextGeneration(record, entry);
    entry.phase = PrimaryPhase::Stable;
    entry.primary = primary;
    entry.baseline = status.received;
    entry.term = status.term;
    return true;
}

void PromotionModel::promote(Instance& instance, const Failover::Action& action)
{
    if (!isRecorded(instance.known, instance.id, action.upstream)) {
        this->log(instance.id.toString() + " abandons its failover");
        return instance.run.reset();
    }
    BootTime now = this->clock.bootNow();
    if (instance.leases->getRemaining(now) < minimumPromotionLease || !instance.handover->mayAct(now))
        return instance.run->actions.push_front(action);
    instance.run->failover.onPromotionSent(this->clock.now());
    this->numCalls++;
    this->sendCall(instance, indexOf(action.upstream));
}

void PromotionModel::sendCall(Instance& instance, std::size_t upstream)
{
    TimePoint now = this->clock.now();
    BootTime sentAt = this->clock.bootNow();
    std::string text = instance.id.toString() + " calls u" + std::to_string(upstream);
    if (!this->upstreams[upstream].isRunning || this->callResult == CallResult::Refused) {
        this->log(text + ", refused");
        instance.run->refused.insert(UpstreamId("u" + std::to_string(upstream)));
        return instance.run->failover.onPromotionResponse(false, now);
    }
    bool isRandom = this->callResult == CallResult::Random;
    bool isAnswered = isRandom ? this->chance(40) : this->callResult == CallResult::Answered;
    if (isAnswered)
        this->calls.push_back({ upstream, sentAt, sentAt + this->milliseconds(isRandom ? 1000 : 1), true });
    bool isLate = isRandom ? this->chance(isAnswered ? 30 : 70) : !isAnswered;
    if (isLate)
        this->calls.push_back({ upstream, sentAt, sentAt + this->milliseconds(6000) + this->milliseconds(1000), false });
    this->log(text + (isAnswered ? ", accepted" : ", not answered") + (isLate ? ", late effect to come" : ""));
    if (isAnswered)
        instance.run->failover.onPromotionResponse(true, now);
    else
        instance.run->hasTimedOut = true;
}

void PromotionModel::takeEffect(std::size_t index)
{
    Upstream& upstream = this->upstreams[index];
    if (!upstream.isRunning || this->platformPrimary == index)
        return;
    for (Upstream& other : this->upstreams)
        other.unawareSince = this->clock.bootNow();
    upstream.isPrimary = true;
    upstream.term = ++this->greatestTerm;
    this->platformPrimary = index;
    this->log("the promotion of u" + std::to_string(index) + " takes effect in term " + std::to_string(this->greatestTerm));
}

bool PromotionModel::applyOldestCall()
{
    if (this->calls.empty())
        return false;
    PendingCall call = this->calls.front();
    this->calls.erase(this->calls.begin());
    if (this->clock.bootNow() - call.sentAt > std::chrono::seconds(7))
        return false;
    this->takeEffect(call.upstream);
    return true;
}

void PromotionModel::applyDueCalls()
{
    std::vector<std::size_t> due;
    std::vector<PendingCall> later;
    for (const PendingCall& call : this->calls) {
        bool isDue = call.effectAt <= this->clock.bootNow() && (call.isAnswered || !this->options.appliesOnDemand);
        if (isDue)
            due.push_back(call.upstream);
        else
            later.push_back(call);
    }
    this->calls = std::move(later);
    for (std::size_t upstream : due)
        this->takeEffect(upstream);
}

void PromotionModel::advance(Duration step)
{
    this->clock.advance(step);
    this->advanceWorld();
}

void PromotionModel::suspend(Duration span)
{
    this->clock.suspend(span);
    this->advanceWorld();
}

void PromotionModel::advanceWorld()
{
    this->applyDueCalls();
    for (std::size_t index = 0; index < numUpstreams && this->options.learnsWithinSecond; index++) {
        if (this->clock.bootNow() - this->upstreams[index].unawareSince > std::chrono::seconds(1))
            this->learnTerm(index);
    }
}

bool PromotionModel::crashUpstream(std::size_t index)
{
    if (!std::exchange(this->upstreams[index].isRunning, false))
        return false;
    this->log("u" + std::to_string(index) + " crashes");
    return true;
}

bool PromotionModel::restartUpstream(std::size_t index)
{
    Upstream& upstream = this->upstreams[index];
    if (std::exchange(upstream.isRunning, true))
        return false;
    upstream.isPrimary = upstream.isPrimary && upstream.term == this->greatestTerm;
    for (Upstream& other : this->upstreams)
        other.unawareSince = this->clock.bootNow();
    this->log("u" + std::to_string(index) + " restarts");
    return true;
}

bool PromotionModel::learnTerm(std::size_t index)
{
    Upstream& upstream = this->upstreams[index];
    const Upstream& leader = this->upstreams[this->platformPrimary];
    if (!upstream.isRunning || !leader.isRunning || upstream.term >= leader.term)
        return false;
    upstream.isPrimary = false;
    upstream.term = leader.term;
    upstream.position = leader.position;
    this->log("u" + std::to_string(index) + " follows u" + std::to_string(this->platformPrimary));
    return true;
}

bool PromotionModel::sendWrite(std::size_t index)
{
    Instance& instance = this->instances[index];
    std::optional<PrimaryTenure> tenure = instance.leases->getView().findPrimaryTenure(group, UpstreamList());
    if (!tenure)
        return false;
    Upstream& upstream = this->upstreams[indexOf(tenure->upstream)];
    if (!upstream.isRunning || !upstream.isPrimary)
        return false;
    upstream.position++;
    this->writes.push_back({ index, instance.process, *tenure, upstream.term, upstream.term < this->greatestTerm });
    if (this->writes.back().isReplaced)
        this->log(instance.id.toString() + " commits a write at the replaced " + tenure->upstream.toString() + " in term " + std::to_string(upstream.term));
    return true;
}

bool PromotionModel::acknowledgeWrite()
{
    if (this->writes.empty())
        return false;
    Write write = this->writes.front();
    this->writes.pop_front();
    Instance& instance = this->instances[write.instance];
    if (instance.process != write.process)
        return false;
    const PrimaryView& view = instance.leases->getView();
    std::optional<PrimaryTenure> tenure = view.findPrimaryTenure(group, UpstreamList());
    if (!tenure || *tenure != write.tenure)
        return false;
    bool hasLease = this->hasLease(instance);
    if (!hasLease && !this->verify(instance, write.tenure))
        return false;
    if (!this->options.ignoresReturn && this->mayPredateReturn(instance, write))
        return false;
    this->numAcknowledged++;
    if (!write.isReplaced)
        return true;
    this->log(instance.id.toString() + " acknowledges this write by " + (hasLease ? "its lease" : "verification"));
    this->violation = "seed " + std::to_string(this->seed) + "\n";
    for (const std::string& line : this->trace)
        *this->violation += "    " + line + "\n";
    return true;
}

bool PromotionModel::hasLease(const Instance& instance) const
{
    const PrimaryView& view = instance.leases->getView();
    BootTime now = this->clock.bootNow();
    if (!this->options.countsLeaseByTimeAlone)
        return view.hasValidLease(group, now);
    std::vector<OpenPromotion> open = view.findOpenPromotions(group);
    bool haveAllEnded = std::all_of(open.begin(), open.end(), [&](const OpenPromotion& promotion) { return instance.leases->getOpenPromotions().hasEnded(group, promotion, now); });
    return view.hasLeaseUpToOpenPromotions(group, now) && haveAllEnded;
}

UpstreamList PromotionModel::listUpstreams()
{
    UpstreamList list;
    for (std::size_t index = 0; index < numUpstreams; index++) {
        UpstreamEntry& entry = list.entries[UpstreamId("u" + std::to_string(index))];
        entry.id = UpstreamId("u" + std::to_string(index));
        entry.group = group;
    }
    return list;
}

std::map<UpstreamId, std::optional<ReplicationStatus>> PromotionModel::requestStatuses(const std::set<UpstreamId>& queried) const
{
    std::map<UpstreamId, std::optional<ReplicationStatus>> statuses;
    for (const UpstreamId& upstream : queried)
        statuses[upstream] = this->requestStatus(indexOf(upstream));
    return statuses;
}

bool PromotionModel::verify(Instance& instance, const PrimaryTenure& tenure)
{
    const PrimaryView& view = instance.leases->getView();
    bool isLeased = view.hasLeaseUpToOpenPromotions(group, this->clock.bootNow());
    std::optional<VerificationScope> scope = findVerificationScope(group, tenure.upstream, listUpstreams(), view.findOpenPromotions(group), isLeased);
    if (!scope)
        return false;
    std::map<UpstreamId, std::optional<ReplicationStatus>> others = this->requestStatuses(scope->required);
    std::optional<ReplicationStatus> primary;
    if (instance.verified && instance.verified->first == tenure)
        primary = instance.verified->second;
    bool isContradicted = primary && std::any_of(others.begin(), others.end(), [&](const std::pair<const UpstreamId, std::optional<ReplicationStatus>>& other) { return other.second && other.second->term > primary->term; });
    if (!primary || isContradicted)
        primary = this->requestStatus(indexOf(tenure.upstream));
    if (!isPrimaryVerified(*scope, primary, others))
        return false;
    Term known = instance.verified && instance.verified->first == tenure ? instance.verified->second.term : view.latest.record->find(group)->term;
    instance.verified = { tenure, *primary };
    return this->options.ignoresReturn || !(known < primary->term);
}

bool PromotionModel::mayPredateReturn(const Instance& instance, const Write& write) const
{
    if (!instance.verified || instance.verified->first != write.tenure)
        return false;
    Term led = instance.verified->second.term;
    return instance.leases->getView().latest.record->find(group)->term < led && Term(write.term) < led;
}

void PromotionModel::step()
{
    std::size_t instance = this->random.below(numInstances);
    std::size_t other = this->random.below(numInstances);
    std::uint64_t choice = this->random.below(200);
    if (choice < 60) {
        for (std::size_t index = 0; index < numInstances && !this->act((instance + index) % numInstances); index++)
            continue;
    } else if (choice < 80)
        this->confirm(other, instance);
    else if (choice < 95)
        this->resumeFailover(instance);
    else if (choice < 97)
        this->suspectPrimary(instance);
    else if (choice < 98)
        this->restartInstance(instance, this->chance(60));
    else if (choice < 107)
        this->registerInstance(instance);
    else if (choice < 117)
        this->sendRead(instance);
    else if (choice < 127)
        this->receiveRead(instance);
    else if (choice < 131)
        this->readFromPeer(instance, other);
    else if (choice < 132)
        this->removeEndedPromotions(instance);
    else if (choice < 147)
        this->sendWrite(instance);
    else if (choice < 163)
        this->acknowledgeWrite();
    else
        this->stepUpstreams(choice - 163);
}

void PromotionModel::stepUpstreams(std::uint64_t choice)
{
    std::size_t upstream = this->random.below(numUpstreams);
    if (choice < 2)
        this->crashUpstream(upstream);
    else if (choice < 5)
        this->restartUpstream(upstream);
    else if (choice < 6)
        this->learnTerm(upstream);
    else if (choice < 7)
        this->suspend(this->milliseconds(1500));
    else if (choice < 9)
        this->advance(this->milliseconds(1500));
    else
        this->advance(this->milliseconds(60));
}

void PromotionModel::run(int numSteps)
{
    for (int index = 0; index < numSteps && !this->violation; index++)
        this->step();
}

bool PromotionModel::recover()
{
    std::size_t before = this->numAcknowledged;
    this->setCallResult(CallResult::Answered);
    this->setStoreReliable(true);
    this->writes.clear();
    for (std::size_t index = 0; index < numUpstreams; index++)
        this->restartUpstream(index);
    for (int round = 0; round < 1000 && this->numAcknowledged == before && !this->violation; round++) {
        this->advance(std::chrono::milliseconds(20));
        for (std::size_t index = 0; index < numInstances; index++) {
            this->learnTerm(index);
            this->registerInstance(index);
            this->sendRead(index);
            this->receiveRead(index);
            this->resumeFailover(index);
            for (int count = 0; count < 8 && this->act(index); count++)
                continue;
            for (std::size_t other = 0; other < numInstances; other++)
                this->confirm(index, other);
            bool isWritten = this->sendWrite(index);
            bool isAcknowledged = isWritten && this->acknowledgeWrite();
            bool mustReplace = !isAcknowledged && this->chance(2) && this->instances[index].known.record->coordinator == this->instances[index].id;
            if (mustReplace)
                this->suspectPrimary(index);
        }
    }
    return this->numAcknowledged > before;
}

} // namespace lentiljunction::tests
