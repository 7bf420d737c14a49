#include "lentiljunction/quota/QuotaAccountant.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// The parts of the slack that add to the capacity of all buckets of a workspace together, and that are given
    /// as initial tokens when shares move. The rest covers operations that run later than they were admitted.
    constexpr double capacityPart = 0.6;
    constexpr double creditPart = 0.2;
    /// Absorbs the rounding of sums of shares.
    constexpr double oneToken = 1 - 1e-9;
    constexpr std::chrono::milliseconds longestRetry { 5000 };
    /// Told when nothing is delegated, which lasts as long as a change of coordinator.
    constexpr std::chrono::milliseconds retryWithoutShare { 500 };

    double toSeconds(BootClock::duration duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    Duration sinceBoot(BootTime time)
    {
        return std::chrono::duration_cast<Duration>(time.time_since_epoch());
    }

} // namespace

QuotaAccountant::QuotaAccountant(const Clock& clock, const QuotaTolerance& tolerance, std::uint64_t epoch, Transport& transport)
    : clock(clock)
    , tolerance(tolerance)
    , epoch(epoch)
    , transport(transport)
{
    for (Partition& partition : this->partitions)
        partition.settledAt = clock.bootNow();
}

double QuotaAccountant::getCapacity(const Bucket& bucket, double share) const
{
    return (bucket.burst + capacityPart * this->tolerance.slack) * share;
}

void QuotaAccountant::setLimits(const std::vector<QuotaLimit>& limits)
{
    std::array<std::map<WorkspaceId, Bucket>, numQuotaPartitions> former;
    for (std::size_t index = 0; index < numQuotaPartitions; index++) {
        this->settle(this->partitions[index]);
        former[index] = std::exchange(this->partitions[index].buckets, {});
    }
    for (const QuotaLimit& limit : limits) {
        std::size_t index = findQuotaPartition(limit.workspace);
        Bucket bucket = former[index][limit.workspace];
        bucket.ratePerSecond = limit.ratePerSecond;
        bucket.burst = limit.burst;
        this->partitions[index].buckets[limit.workspace] = bucket;
    }
}

void QuotaAccountant::accrue(Partition& partition, BootTime until)
{
    double seconds = toSeconds(std::max(BootClock::duration(0), until - partition.settledAt));
    partition.settledAt = std::max(partition.settledAt, until);
    for (std::pair<const WorkspaceId, Bucket>& entry : partition.buckets) {
        Bucket& bucket = entry.second;
        double added = bucket.ratePerSecond * partition.share * seconds;
        bucket.tokens = std::min(bucket.tokens + added, this->getCapacity(bucket, partition.share));
        bucket.numReturning = std::max(0.0, bucket.numReturning - added);
    }
}

void QuotaAccountant::updateShare(Partition& partition)
{
    partition.share = 0;
    for (const std::pair<const InstanceId, Delegation>& delegation : partition.delegations) {
        if (delegation.second.end > partition.settledAt)
            partition.share += delegation.second.share;
    }
    // More than one is possible only while instances know lists of different lengths.
    partition.share = std::min(partition.share, 1.0);
}

void QuotaAccountant::settle(Partition& partition)
{
    // Expiries are applied one by one in order of time, so that a pause of this instance adds no tokens.
    BootTime now = this->clock.bootNow();
    while (true) {
        BootTime next = BootTime::max();
        for (const std::pair<const InstanceId, Delegation>& delegation : partition.delegations) {
            if (delegation.second.end > partition.settledAt)
                next = std::min(next, delegation.second.end);
        }
        if (next > now)
            break;
        this->accrue(partition, next);
        this->updateShare(partition);
    }
    this->accrue(partition, now);
}

void QuotaAccountant::delegate(Partition& partition, const InstanceId& client, BootTime sentAt, double share, bool isCredited)
{
    this->settle(partition);
    Delegation& delegation = partition.delegations[client];
    delegation.end = std::max(delegation.end, sentAt + delegationDuration);
    delegation.share = share;
    this->updateShare(partition);
    // The limit on the frequency also ignores a repeated message.
    bool mayCredit = !delegation.creditedAt || sentAt - *delegation.creditedAt > this->tolerance.window;
    if (!isCredited || !mayCredit)
        return;
    delegation.creditedAt = sentAt;
    for (std::pair<const WorkspaceId, Bucket>& entry : partition.buckets)
        entry.second.tokens = std::min(entry.second.tokens + creditPart * this->tolerance.slack * share, this->getCapacity(entry.second, partition.share));
}

void QuotaAccountant::onMessage(std::uint64_t link, const QuotaMessage& message)
{
    this->links.emplace(link, 0);
    if (this->isStopping) {
        QuotaMessage answer;
        answer.kind = QuotaMessage::Kind::Stopping;
        answer.epoch = this->epoch;
        return this->transport.sendToClient(link, answer);
    }
    if (message.kind == QuotaMessage::Kind::Heartbeat)
        return this->onHeartbeat(link, message);
    if (message.kind == QuotaMessage::Kind::Request)
        this->onRequest(link, message);
}

void QuotaAccountant::onHeartbeat(std::uint64_t link, const QuotaMessage& message)
{
    BootTime now = this->clock.bootNow();
    // A time that this process did not send says nothing about when the heartbeat was sent.
    BootTime sentAt = std::min(now, BootTime(message.time));
    if (message.epoch == this->epoch && sentAt + delegationDuration > now && message.numInstances > 0) {
        for (std::size_t index = 0; index < numQuotaPartitions; index++) {
            std::uint64_t bit = std::uint64_t(1) << index;
            if ((message.partitions & bit) != 0)
                this->delegate(this->partitions[index], message.instance, sentAt, 1.0 / static_cast<double>(message.numInstances), (message.credits & bit) != 0);
        }
    }
    QuotaMessage answer;
    answer.kind = QuotaMessage::Kind::Alive;
    answer.epoch = this->epoch;
    answer.time = sinceBoot(now);
    this->transport.sendToClient(link, answer);
}

void QuotaAccountant::onRequest(std::uint64_t link, const QuotaMessage& message)
{
    std::uint64_t& newest = this->links[link];
    if (message.request <= newest)
        return;
    newest = message.request;
    Partition& partition = this->partitions[findQuotaPartition(message.workspace)];
    this->settle(partition);
    QuotaMessage answer;
    answer.request = message.request;
    std::map<WorkspaceId, Bucket>::iterator found = partition.buckets.find(message.workspace);
    if (found != partition.buckets.end() && found->second.tokens >= oneToken) {
        found->second.tokens = std::max(0.0, found->second.tokens - 1);
        answer.kind = QuotaMessage::Kind::Admitted;
        return this->transport.sendToClient(link, answer);
    }
    answer.kind = QuotaMessage::Kind::Refused;
    answer.retryAfter = retryWithoutShare;
    if (found != partition.buckets.end() && found->second.ratePerSecond * partition.share > 0) {
        Bucket& bucket = found->second;
        double seconds = std::min((1 - bucket.tokens + bucket.numReturning) / (bucket.ratePerSecond * partition.share), toSeconds(longestRetry));
        answer.retryAfter = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        bucket.numReturning = std::min(bucket.numReturning + 1, bucket.ratePerSecond * partition.share * toSeconds(longestRetry));
    }
    this->transport.sendToClient(link, answer);
}

void QuotaAccountant::onLinkLost(std::uint64_t link)
{
    this->links.erase(link);
}

void QuotaAccountant::stop()
{
    this->isStopping = true;
    for (Partition& partition : this->partitions) {
        partition.delegations.clear();
        this->updateShare(partition);
    }
    QuotaMessage message;
    message.kind = QuotaMessage::Kind::Stopping;
    message.epoch = this->epoch;
    for (const std::pair<const std::uint64_t, std::uint64_t>& link : std::map<std::uint64_t, std::uint64_t>(this->links))
        this->transport.sendToClient(link.first, message);
}

std::size_t QuotaAccountant::countDelegations() const
{
    std::size_t number = 0;
    BootTime now = this->clock.bootNow();
    for (const Partition& partition : this->partitions)
        number += static_cast<std::size_t>(std::count_if(partition.delegations.begin(), partition.delegations.end(), [now](const std::pair<const InstanceId, Delegation>& delegation) { return delegation.second.end > now; }));
    return number;
}

double QuotaAccountant::getShare(std::size_t partition)
{
    this->settle(this->partitions.at(partition));
    return this->partitions.at(partition).share;
}

} // namespace lentiljunction
