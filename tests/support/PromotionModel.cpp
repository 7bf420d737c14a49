#include "PromotionModel.h"

#include <algorithm>
#include <utility>

namespace lentiljunction::tests {

namespace {

    const GroupId group("g");
    constexpr std::chrono::milliseconds stalledFailoverTimeout { 3500 };

    UpstreamId nameUpstream(std::size_t index)
    {
        return UpstreamId("u" + std::to_string(index));
    }

} // namespace

PromotionModel::PromotionModel(std::uint64_t seed, Options options)
    : random(seed)
    , options(options)
    , seed(seed)
{
    PrimaryRecord record;
    record.coordinator = InstanceId("i0");
    record.epoch = FencingToken(1);
    PrimaryEntry& entry = record.groups[group];
    entry.primary = nameUpstream(0);
    entry.generation = 1;
    entry.term = Term(1);
    this->store = { std::make_shared<PrimaryRecord>(record), StoreVersion(1) };
    this->upstreams[0].isPrimary = true;
    for (std::size_t index = 0; index < numInstances; index++) {
        this->startProcess(this->instances[index], InstanceId("i" + std::to_string(index)));
        this->registerInstance(index);
        this->sendRead(index);
        this->receiveRead(index);
    }
}

void PromotionModel::log(const std::string& text)
{
    std::int64_t now = std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.bootNow() - BootTime(std::chrono::hours(2))).count();
    this->trace.push_back(std::to_string(now) + " ms: " + text);
}

void PromotionModel::startProcess(Instance& instance, const InstanceId& id)
{
    instance = Instance();
    instance.id = id;
    instance.process = this->nextProcess++;
    instance.leases = std::make_unique<LeaseTracker>(id, this->clock);
    instance.handover = std::make_unique<CoordinatorHandover>(id);
    if (this->options.leasesBeforeRegistration)
        instance.leases->onRegistered(StoreEra());
}

void PromotionModel::offer(Instance& instance, const VersionedPrimaryRecord& versioned, BootTime sentAt, std::optional<Duration> remaining)
{
    VersionedPrimaryRecord seen = versioned;
    if (this->options.hidesOpenPromotions) {
        std::shared_ptr<PrimaryRecord> record = std::make_shared<PrimaryRecord>(*versioned.record);
        record->groups[group].openPromotions.clear();
        seen.record = record;
    }
    if (remaining)
        instance.leases->onPeerResponse(seen, *remaining, sentAt);
    else
        instance.leases->onStoreResponse(seen, sentAt);
    if (versioned.isNewerThan(instance.known))
        instance.known = versioned;
    instance.handover->onRecord(*instance.known.record, instance.known.revision, this->clock.bootNow());
    const PrimaryEntry& entry = *instance.known.record->find(group);
    std::pair<FencingToken, std::uint64_t> key(instance.known.record->epoch, entry.generation);
    if (entry.phase == PrimaryPhase::Stable)
        instance.changingSince.reset();
    else if (!instance.changingSince || instance.changingSince->first != key)
        instance.changingSince = { key, this->clock.now() };
}

bool PromotionModel::registerInstance(std::size_t index)
{
    Instance& instance = this->instances[index];
    this->registered.insert(instance.id);
    instance.leases->onRegistered(StoreEra());
    return true;
}

bool PromotionModel::restartInstance(std::size_t index, bool keepsId)
{
    InstanceId id = keepsId ? this->instances[index].id : InstanceId("n" + std::to_string(this->nextProcess));
    this->log("instance " + this->instances[index].id.toString() + " stops and starts as " + id.toString());
    // The registration of an instance that does not return ends.
    if (!keepsId)
        this->registered.erase(this->instances[index].id);
    this->startProcess(this->instances[index], id);
    return true;
}

bool PromotionModel::sendRead(std::size_t index)
{
    this->instances[index].pendingRead = { this->clock.bootNow(), this->store };
    return true;
}

bool PromotionModel::receiveRead(std::size_t index)
{
    Instance& instance = this->instances[index];
    if (!instance.pendingRead)
        return false;
    std::pair<BootTime, VersionedPrimaryRecord> read = *std::exchange(instance.pendingRead, std::nullopt);
    this->offer(instance, read.second, read.first, std::nullopt);
    return true;
}

bool PromotionModel::readFromPeer(std::size_t index, std::size_t peer)
{
    const Instance& other = this->instances[peer];
    if (index == peer || other.known.record == nullptr)
        return false;
    this->offer(this->instances[index], other.known, this->clock.bootNow(), other.leases->getRemaining(this->clock.bootNow()));
    return true;
}

void PromotionModel::startFailover(Instance& instance, const PrimaryEntry& entry)
{
    std::vector<UpstreamId> candidates;
    for (std::size_t index = 0; index < numUpstreams; index++) {
        if (nameUpstream(index) != entry.primary)
            candidates.push_back(nameUpstream(index));
    }
    Failover failover(group, entry.primary, candidates, false, entry.term, this->clock.now());
    failover.inheritPromotions(listCalledUpstreams(entry));
    instance.run = Run { failover, {}, std::nullopt, false, {} };
    this->log(instance.id.toString() + " starts a failover from " + entry.primary.toString());
}

bool PromotionModel::suspectPrimary(std::size_t index)
{
    Instance& instance = this->instances[index];
    if (instance.run || instance.known.record == nullptr || instance.known.record->find(group)->phase != PrimaryPhase::Stable)
        return false;
    this->startFailover(instance, *instance.known.record->find(group));
    return true;
}

bool PromotionModel::resumeFailover(std::size_t index)
{
    Instance& instance = this->instances[index];
    if (instance.run || !instance.changingSince)
        return false;
    bool isCoordinator = instance.known.record->coordinator == instance.id;
    if (!isCoordinator && this->clock.now() - instance.changingSince->second < stalledFailoverTimeout)
        return false;
    this->startFailover(instance, *instance.known.record->find(group));
    return true;
}

bool PromotionModel::removeEndedPromotions(std::size_t index)
{
    Instance& instance = this->instances[index];
    if (instance.known.record == nullptr || instance.known.record->coordinator != instance.id || instance.known.revision != this->store.revision)
        return false;
    PrimaryRecord record = *instance.known.record;
    PrimaryEntry& entry = record.groups[group];
    std::vector<OpenPromotion> ended = listEndedPromotions(group, entry, instance.leases->getOpenPromotions(), this->clock.bootNow());
    UpstreamList upstreams = listUpstreams();
    std::set<UpstreamId> queried;
    for (const std::pair<const UpstreamId, UpstreamEntry>& upstream : upstreams.entries)
        queried.insert(upstream.first);
    if (ended.empty() || (!this->options.removesByTimeAlone && !isUnaffected(group, entry, upstreams, this->requestStatuses(queried))))
        return false;
    std::vector<OpenPromotion>& open = entry.openPromotions;
    open.erase(std::remove_if(open.begin(), open.end(), [&ended](const OpenPromotion& promotion) { return std::find(ended.begin(), ended.end(), promotion) != ended.end(); }), open.end());
    record.nonce = instance.id.toString() + "-" + std::to_string(this->random.bits());
    this->store = { std::make_shared<PrimaryRecord>(record), StoreVersion(this->store.revision.value() + 1) };
    this->log(instance.id.toString() + " removes ended promotions");
    return true;
}

bool PromotionModel::confirm(std::size_t coordinator, std::size_t index)
{
    Instance& from = this->instances[coordinator];
    Instance& instance = this->instances[index];
    if (!from.run || from.run->failover.getUnconfirmedInstances().count(instance.id) == 0)
        return false;
    if (coordinator != index)
        this->offer(instance, from.known, this->clock.bootNow(), from.leases->getRemaining(this->clock.bootNow()));
    from.run->failover.onInstanceConfirmed(instance.id);
    return true;
}

bool PromotionModel::act(std::size_t index)
{
    Instance& instance = this->instances[index];
    if (!instance.run)
        return false;
    Run& run = *instance.run;
    if (run.inDoubt) {
        this->readBack(instance);
        return true;
    }
    if (std::exchange(run.hasTimedOut, false))
        run.failover.onPromotionTimeout(this->clock.now());
    if (run.actions.empty()) {
        for (const Failover::Action& action : run.failover.takeActions(this->clock.bootNow(), this->clock.now()))
            run.actions.push_back(action);
    }
    if (run.actions.empty())
        return false;
    Failover::Action action = run.actions.front();
    run.actions.pop_front();
    this->carryOut(instance, action);
    return true;
}

void PromotionModel::carryOut(Instance& instance, const Failover::Action& action)
{
    switch (action.kind) {
    case Failover::Action::Kind::WriteChanging:
    case Failover::Action::Kind::RecordPromotion:
    case Failover::Action::Kind::WriteStable:
        return this->writeRecord(instance, action);
    case Failover::Action::Kind::RequestConfirmations: {
        std::set<InstanceId> listed = this->registered;
        listed.insert(instance.id);
        instance.run->failover.onInstancesListed(listed);
        return instance.run->failover.onInstanceConfirmed(instance.id);
    }
    case Failover::Action::Kind::RequestStatus:
    case Failover::Action::Kind::RequestPromotedStatus: {
        std::optional<ReplicationStatus> status = this->requestStatus(indexOf(action.upstream));
        if (status)
            instance.run->failover.onStatus(action.upstream, *status);
        return;
    }
    case Failover::Action::Kind::DemoteOldPrimary: {
        Upstream& old = this->upstreams[indexOf(action.upstream)];
        if (!old.isRunning || this->chance(50))
            return;
        old.isPrimary = false;
        return instance.run->failover.onOldPrimaryDemoted(*this->requestStatus(indexOf(action.upstream)));
    }
    case Failover::Action::Kind::Promote:
        return this->promote(instance, action);
    // Its groups are asynchronous.
    case Failover::Action::Kind::PauseReplica:
    case Failover::Action::Kind::RefreshUpstreams:
        return;
    }
}

std::optional<ReplicationStatus> PromotionModel::requestStatus(std::size_t index) const
{
    const Upstream& upstream = this->upstreams[index];
    if (!upstream.isRunning)
        return std::nullopt;
    return ReplicationStatus { upstream.isPrimary, Term(upstream.term), { Term(upstream.term), Position(upstream.position) } };
}

void PromotionModel::writeRecord(Instance& instance, const Failover::Action& action)
{
    PrimaryRecord record = *instance.known.record;
    if (!this->change(instance, action, record)) {
        this->log(instance.id.toString() + " abandons its failover");
        return instance.run.reset();
    }
    RecordWrite write { action, instance.id.toString() + "-" + std::to_string(this->random.bits()) };
    record.nonce = write.nonce;
    bool isLost = !this->isStoreReliable && this->chance(10);
    bool isWritten = instance.known.revision == this->store.revision && !(isLost && this->chance(50));
    if (isWritten)
        this->store = { std::make_shared<PrimaryRecord>(record), StoreVersion(this->store.revision.value() + 1) };
    if (!isWritten || isLost) {
        instance.run->inDoubt = write;
        return;
    }
    this->offer(instance, this->store, this->clock.bootNow(), std::nullopt);
    this->onWritten(instance, action);
}

void PromotionModel::readBack(Instance& instance)
{
    RecordWrite write = *std::exchange(instance.run->inDoubt, std::nullopt);
    this->offer(instance, this->store, this->clock.bootNow(), std::nullopt);
    if (instance.known.record->nonce == write.nonce)
        return this->onWritten(instance, write.action);
    this->writeRecord(instance, write.action);
}

void PromotionModel::onWritten(Instance& instance, const Failover::Action& action)
{
    Failover& failover = instance.run->failover;
    if (action.kind == Failover::Action::Kind::WriteChanging) {
        this->log(instance.id.toString() + " announces");
        return failover.onChangingWritten(this->clock.bootNow(), this->clock.now());
    }
    if (action.kind == Failover::Action::Kind::RecordPromotion) {
        this->log(instance.id.toString() + " records " + action.upstream.toString());
        return failover.onPromotionRecorded(false, this->clock.now());
    }
    this->log(instance.id.toString() + " publishes " + action.upstream.toString() + " with " + std::to_string(instance.known.record->find(group)->openPromotions.size()) + " open promotions");
    instance.run.reset();
}

} // namespace lentiljunction::tests
