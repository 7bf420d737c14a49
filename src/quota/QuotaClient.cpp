#include "lentiljunction/quota/QuotaClient.h"

#include "lentiljunction/core/LogEvents.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    constexpr std::chrono::milliseconds heartbeatInterval { 150 };
    constexpr std::chrono::milliseconds probeInterval { 1000 };
    /// An operation waits this long for a decision; a change of coordinator ends within it.
    constexpr std::chrono::milliseconds decisionTimeout { 600 };
    /// The wait that is told to callers whose operation was not decided.
    constexpr std::chrono::milliseconds undecidedRetry { 500 };
    constexpr std::chrono::milliseconds longestGrantAge { 500 };
    constexpr std::chrono::milliseconds moveMargin { 1000 };
    /// After its start an instance delegates nothing until the delegations of a former process of the same id have
    /// expired. It refuses the operations of limited workspaces meanwhile, so a longer wait costs service after each restart.
    constexpr std::chrono::milliseconds startDelay { 500 };
    static_assert(startDelay > delegationDuration, "a share would count at two coordinators");
    /// A tick that is this late shows that this instance was paused, so answers may be waiting to be read.
    constexpr std::chrono::milliseconds pauseThreshold { 150 };

} // namespace

QuotaClient::QuotaClient(const Clock& clock, const QuotaTolerance& tolerance, const InstanceId& self, Transport& transport)
    : clock(clock)
    , self(self)
    , transport(transport)
    , startedAt(clock.bootNow())
    , maximumGrantAge(std::min<BootClock::duration>(longestGrantAge, std::chrono::duration_cast<BootClock::duration>(tolerance.window * tolerance.overage)))
    , moveInterval(tolerance.window + moveMargin)
    , lastTick(clock.bootNow())
{
    // A process that was restarted may have caused initial tokens shortly before.
    for (Partition& partition : this->partitions)
        partition.nextCreditAt = this->startedAt + this->moveInterval;
}

void QuotaClient::setLimits(const std::vector<QuotaLimit>& newLimits)
{
    this->limits.clear();
    for (const QuotaLimit& limit : newLimits)
        this->limits[limit.workspace] = limit;
    this->localAdmissions.clear();
}

void QuotaClient::setPlan(const QuotaPlan& newPlan, std::size_t newNumInstances)
{
    this->plan = newPlan;
    this->numInstances = std::max<std::size_t>(1, newNumInstances);
}

bool QuotaClient::mayDelegate() const
{
    return this->numInstances > 0 && this->clock.bootNow() - this->startedAt >= startDelay;
}

QuotaCounts QuotaClient::getCounts() const
{
    QuotaCounts current = this->counts;
    current.numWaiting = this->requests.size();
    for (const Partition& partition : this->partitions)
        current.numDelegated += partition.delegatedUntil > this->clock.bootNow() ? 1 : 0;
    return current;
}

bool QuotaClient::hasDelegatedAll() const
{
    return std::all_of(this->partitions.begin(), this->partitions.end(), [](const Partition& partition) { return partition.isDelegated; });
}

std::uint64_t QuotaClient::admit(const WorkspaceId& workspace, Callback callback)
{
    BootTime now = this->clock.bootNow();
    if (this->limits.count(workspace) == 0) {
        callback({});
        return 0;
    }
    if (std::optional<QuotaDecision> decision = this->localAdmissions.take(workspace, now)) {
        callback(this->counts.count(workspace, *decision));
        return 0;
    }
    std::uint64_t number = this->nextNumber++;
    Request request;
    request.workspace = workspace;
    request.callback = std::move(callback);
    request.deadline = now + decisionTimeout;
    this->requests.emplace(number, std::move(request));
    std::size_t index = findQuotaPartition(workspace);
    this->partitions[index].unsent.push_back(number);
    this->sendUnsent(index, now);
    return number;
}

void QuotaClient::cancel(std::uint64_t number)
{
    std::map<std::uint64_t, Request>::iterator found = this->requests.find(number);
    if (found == this->requests.end())
        return;
    // A request that was sent stays, so that its admission can serve another operation.
    found->second.callback = nullptr;
    if (!found->second.coordinator)
        this->requests.erase(found);
}

void QuotaClient::giveBack(const WorkspaceId& workspace)
{
    if (this->limits.count(workspace) > 0)
        this->localAdmissions.addSpare(workspace, this->clock.bootNow());
}

QuotaCoordinator& QuotaClient::getCoordinator(const FleetMember& member)
{
    QuotaCoordinator& coordinator = this->coordinators[member.id];
    coordinator.member = member;
    return coordinator;
}

QuotaCoordinator* QuotaClient::findAvailable(const InstanceId& id)
{
    std::map<InstanceId, QuotaCoordinator>::iterator found = this->coordinators.find(id);
    return found == this->coordinators.end() || !found->second.isAvailable() ? nullptr : &found->second;
}

const FleetMember* QuotaClient::chooseCoordinator(std::size_t partition)
{
    for (const FleetMember& member : this->plan.getOrder(partition)) {
        if (this->getCoordinator(member).isAvailable())
            return &member;
    }
    return nullptr;
}

void QuotaClient::tick()
{
    BootTime now = this->clock.bootNow();
    this->detectSilence(now);
    for (std::size_t index = 0; index < numQuotaPartitions; index++)
        this->updatePartition(index, now);
    this->sendHeartbeats(now);
    for (std::size_t index = 0; index < numQuotaPartitions; index++)
        this->sendUnsent(index, now);
    this->expireRequests(now);
}

void QuotaClient::detectSilence(BootTime now)
{
    bool wasPaused = now - std::exchange(this->lastTick, now) > pauseThreshold;
    for (std::pair<const InstanceId, QuotaCoordinator>& entry : this->coordinators) {
        if (wasPaused)
            entry.second.restartWait(now);
        else if (entry.second.isSilent(now) && entry.first != this->self)
            this->setUnavailable(entry.second, "no answer");
    }
}

void QuotaClient::setUnavailable(QuotaCoordinator& coordinator, const char* reason)
{
    coordinator.nextHeartbeatAt = this->clock.bootNow() + probeInterval;
    this->recallRequests(coordinator.member.id);
    if (coordinator.setUnavailable())
        logEvent(events::quotaCoordinatorLost, "instance=" + coordinator.member.id.toString() + " reason=\"" + reason + "\"");
}

void QuotaClient::recallRequests(const InstanceId& coordinator)
{
    // The last ones go to the front last, so that the order of arrival stays.
    for (std::map<std::uint64_t, Request>::reverse_iterator entry = this->requests.rbegin(); entry != this->requests.rend(); ++entry) {
        Request& request = entry->second;
        if (request.coordinator != coordinator)
            continue;
        request.coordinator = std::nullopt;
        this->sentRequests.erase(request.message);
        if (request.callback)
            this->partitions[findQuotaPartition(request.workspace)].unsent.push_front(entry->first);
    }
}

void QuotaClient::updatePartition(std::size_t index, BootTime now)
{
    Partition& partition = this->partitions[index];
    const FleetMember* wanted = this->chooseCoordinator(index);
    if (wanted == nullptr)
        return;
    if (partition.current == wanted->id) {
        partition.isLeaving = false;
        return;
    }
    bool isVoluntary = partition.current && partition.isDelegated && this->findAvailable(*partition.current) != nullptr;
    if (isVoluntary && now < partition.nextMoveAt)
        return;
    partition.isLeaving = true;
    // The former coordinator may count the share until then.
    if (now >= partition.delegatedUntil)
        this->moveTo(index, *wanted, now);
}

void QuotaClient::moveTo(std::size_t index, const FleetMember& member, BootTime now)
{
    Partition& partition = this->partitions[index];
    logEvent(events::quotaCoordinatorChanged, "partition=" + std::to_string(index) + " from=" + partition.current.value_or(InstanceId()).toString() + " to=" + member.id.toString());
    if (partition.current)
        this->recallRequests(*partition.current);
    partition.current = member.id;
    partition.isDelegated = false;
    partition.isLeaving = false;
    partition.nextMoveAt = now + this->moveInterval;
    this->sendHeartbeat(this->getCoordinator(member), now);
}

std::set<InstanceId> QuotaClient::listWanted()
{
    std::set<InstanceId> wanted;
    for (std::size_t index = 0; index < numQuotaPartitions; index++) {
        if (this->partitions[index].current)
            wanted.insert(*this->partitions[index].current);
        if (const FleetMember* member = this->chooseCoordinator(index))
            wanted.insert(member->id);
    }
    return wanted;
}

void QuotaClient::sendHeartbeats(BootTime now)
{
    std::set<InstanceId> wanted = this->listWanted();
    std::set<InstanceId> planned = this->plan.listInstances();
    for (std::pair<const InstanceId, QuotaCoordinator>& entry : this->coordinators) {
        // A coordinator that failed is probed as long as the plan contains it.
        bool isNeeded = (entry.second.isAvailable() ? wanted : planned).count(entry.first) > 0;
        if (isNeeded && now >= entry.second.nextHeartbeatAt)
            this->sendHeartbeat(entry.second, now);
    }
}

void QuotaClient::sendHeartbeat(QuotaCoordinator& coordinator, BootTime now)
{
    QuotaMessage message;
    message.kind = QuotaMessage::Kind::Heartbeat;
    message.instance = this->self;
    message.numInstances = this->numInstances;
    if (coordinator.getEpoch() != 0) {
        message.epoch = coordinator.getEpoch();
        message.time = coordinator.getTime(now);
        this->addDelegations(message, coordinator, now);
    }
    if (!coordinator.isAvailable())
        this->transport.dropLink(coordinator.member.id);
    coordinator.nextHeartbeatAt = now + (coordinator.isAvailable() ? heartbeatInterval : probeInterval);
    this->send(coordinator, message, now);
}

void QuotaClient::addDelegations(QuotaMessage& message, const QuotaCoordinator& coordinator, BootTime now)
{
    if (!this->mayDelegate())
        return;
    for (std::size_t index = 0; index < numQuotaPartitions; index++) {
        Partition& partition = this->partitions[index];
        if (partition.current != coordinator.member.id || partition.isLeaving)
            continue;
        std::uint64_t bit = std::uint64_t(1) << index;
        message.partitions |= bit;
        partition.delegatedUntil = now + delegationDuration;
        if (std::exchange(partition.isDelegated, true) || now < partition.nextCreditAt)
            continue;
        message.credits |= bit;
        partition.nextCreditAt = now + this->moveInterval;
    }
}

void QuotaClient::send(QuotaCoordinator& coordinator, const QuotaMessage& message, BootTime now)
{
    coordinator.onSent(now);
    this->transport.sendToCoordinator(coordinator.member, message);
}

void QuotaClient::sendUnsent(std::size_t index, BootTime now)
{
    Partition& partition = this->partitions[index];
    QuotaCoordinator* coordinator = partition.current ? this->findAvailable(*partition.current) : nullptr;
    // A coordinator that this instance has just changed to would refuse what it has no share for.
    if (coordinator == nullptr || coordinator->getEpoch() == 0 || (this->mayDelegate() && !partition.isDelegated))
        return;
    while (!partition.unsent.empty()) {
        std::map<std::uint64_t, Request>::iterator found = this->requests.find(partition.unsent.front());
        partition.unsent.pop_front();
        if (found == this->requests.end())
            continue;
        QuotaMessage message;
        message.kind = QuotaMessage::Kind::Request;
        message.request = this->nextNumber++;
        message.workspace = found->second.workspace;
        found->second.coordinator = partition.current;
        found->second.message = message.request;
        found->second.sentAt = now;
        this->sentRequests[message.request] = found->first;
        this->send(*coordinator, message, now);
    }
}

void QuotaClient::expireRequests(BootTime now)
{
    std::vector<std::uint64_t> expired;
    for (const std::pair<const std::uint64_t, Request>& entry : this->requests) {
        if (now >= entry.second.deadline)
            expired.push_back(entry.first);
    }
    for (std::uint64_t number : expired)
        this->decide(number, { QuotaDecision::Kind::Undecided, undecidedRetry });
}

void QuotaClient::decide(std::uint64_t number, const QuotaDecision& decision)
{
    std::map<std::uint64_t, Request>::iterator found = this->requests.find(number);
    if (found == this->requests.end())
        return;
    Request request = std::move(found->second);
    this->requests.erase(found);
    this->sentRequests.erase(request.message);
    if (request.callback)
        request.callback(this->counts.count(request.workspace, decision));
    else if (decision.isAdmitted())
        this->giveBack(request.workspace);
}

void QuotaClient::onMessage(const InstanceId& id, const QuotaMessage& message)
{
    std::map<InstanceId, QuotaCoordinator>::iterator found = this->coordinators.find(id);
    if (found == this->coordinators.end())
        return;
    if (message.kind == QuotaMessage::Kind::Stopping)
        return this->onStopping(found->second, message);
    found->second.onAnswer();
    if (message.kind == QuotaMessage::Kind::Alive)
        return this->onAlive(found->second, message);
    if (message.kind == QuotaMessage::Kind::Admitted || message.kind == QuotaMessage::Kind::Refused)
        this->onDecision(id, message);
}

void QuotaClient::onAlive(QuotaCoordinator& coordinator, const QuotaMessage& message)
{
    BootTime now = this->clock.bootNow();
    if (!coordinator.onAlive(message.epoch, message.time, now))
        return;
    for (Partition& partition : this->partitions) {
        // Another process answers, which knows of no delegation.
        if (partition.current == coordinator.member.id)
            partition.isDelegated = false;
    }
    this->sendHeartbeat(coordinator, now);
    for (std::size_t index = 0; index < numQuotaPartitions; index++)
        this->sendUnsent(index, now);
}

void QuotaClient::onStopping(QuotaCoordinator& coordinator, const QuotaMessage& message)
{
    // A late message of a former process says nothing about the delegations to the present one.
    if (coordinator.getEpoch() != 0 && message.epoch != coordinator.getEpoch())
        return;
    // The process has ended all delegations and accepts none that is under way.
    for (Partition& partition : this->partitions) {
        if (partition.current == coordinator.member.id && coordinator.getEpoch() != 0)
            partition.delegatedUntil = BootTime();
    }
    this->setUnavailable(coordinator, "it stops");
    for (std::size_t index = 0; index < numQuotaPartitions; index++)
        this->updatePartition(index, this->clock.bootNow());
}

void QuotaClient::onLinkLost(const InstanceId& id)
{
    std::map<InstanceId, QuotaCoordinator>::iterator found = this->coordinators.find(id);
    if (found != this->coordinators.end())
        this->setUnavailable(found->second, "the link was lost");
}

void QuotaClient::onDecision(const InstanceId& id, const QuotaMessage& message)
{
    std::map<std::uint64_t, std::uint64_t>::const_iterator sent = this->sentRequests.find(message.request);
    if (sent == this->sentRequests.end())
        return;
    std::uint64_t number = sent->second;
    const Request& request = this->requests.at(number);
    if (request.coordinator != id)
        return;
    BootTime now = this->clock.bootNow();
    if (message.kind == QuotaMessage::Kind::Refused) {
        this->localAdmissions.addRefusal(request.workspace, message.retryAfter, now);
        return this->decide(number, { QuotaDecision::Kind::Refused, message.retryAfter });
    }
    // Operations that run long after their admission would add to those of a later window.
    if (now - request.sentAt > this->maximumGrantAge)
        return this->decide(number, { QuotaDecision::Kind::Undecided, undecidedRetry });
    this->decide(number, {});
}

} // namespace lentiljunction
