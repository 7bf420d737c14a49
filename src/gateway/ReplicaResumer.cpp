#include "ReplicaResumer.h"

#include <utility>

namespace lentiljunction {

namespace {

    /// Longer than the timeout of a command.
    constexpr std::chrono::milliseconds roundInterval { 600 };
    /// A replica that cannot be reached for longer is restarted or replaced, which ends its pause.
    constexpr int maximumRounds = 100;

} // namespace

ReplicaResumer::ReplicaResumer(EventLoop& loop, UpstreamCommander& commander, ReplicaLister listReplicas)
    : loop(loop)
    , commander(commander)
    , listReplicas(std::move(listReplicas))
{
}

void ReplicaResumer::resume(const GroupId& group)
{
    std::uint64_t number = this->nextNumber++;
    this->runs[group] = Run { number, {}, 0 };
    this->sendRound(group, number);
}

ReplicaResumer::Run* ReplicaResumer::findRun(const GroupId& group, std::uint64_t number)
{
    std::map<GroupId, Run>::iterator found = this->runs.find(group);
    return found == this->runs.end() || found->second.number != number ? nullptr : &found->second;
}

void ReplicaResumer::sendRound(const GroupId& group, std::uint64_t number)
{
    Run* run = this->findRun(group, number);
    if (run == nullptr)
        return;
    std::vector<UpstreamEntry> missing;
    for (UpstreamEntry& replica : this->listReplicas(group)) {
        if (run->resumed.count(replica.id) == 0)
            missing.push_back(std::move(replica));
    }
    if (missing.empty() || ++run->numRounds > maximumRounds) {
        this->runs.erase(group);
        return;
    }
    for (const UpstreamEntry& replica : missing)
        this->commander.resume(replica, [this, group, number, id = replica.id](const std::optional<ReplicationStatus>& status, bool) {
            Run* current = this->findRun(group, number);
            if (current != nullptr && status)
                current->resumed.insert(id);
        });
    this->loop.schedule(roundInterval, [this, group, number] { this->sendRound(group, number); });
}

} // namespace lentiljunction
