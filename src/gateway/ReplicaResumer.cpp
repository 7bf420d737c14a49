#include "ReplicaResumer.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// Longer than the timeout of a command.
    constexpr std::chrono::milliseconds roundInterval { 600 };
    /// A replica that cannot be reached for longer is restarted or replaced, which ends its pause.
    constexpr int maximumRounds = 100;
    /// The round from which a replica is resumed for the second time, 6 s after the first one. An upstream drops a connection
    /// whose remote end is unreachable after 3 s.
    constexpr int repeatedRound = 11;

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

bool ReplicaResumer::isFinished(const Run& run, const UpstreamId& replica)
{
    std::map<UpstreamId, int>::const_iterator found = run.resumedIn.find(replica);
    return found != run.resumedIn.end() && found->second >= repeatedRound;
}

bool ReplicaResumer::isDue(const Run& run, const UpstreamId& replica)
{
    return run.resumedIn.count(replica) == 0 || (run.numRounds >= repeatedRound && !isFinished(run, replica));
}

void ReplicaResumer::sendRound(const GroupId& group, std::uint64_t number)
{
    Run* run = this->findRun(group, number);
    if (run == nullptr)
        return;
    std::vector<UpstreamEntry> replicas = this->listReplicas(group);
    bool areFinished = std::all_of(replicas.begin(), replicas.end(), [run](const UpstreamEntry& replica) { return isFinished(*run, replica.id); });
    if (areFinished || ++run->numRounds > maximumRounds) {
        this->runs.erase(group);
        return;
    }
    int round = run->numRounds;
    for (const UpstreamEntry& replica : replicas) {
        if (!isDue(*run, replica.id))
            continue;
        this->commander.resume(replica, [this, group, number, round, id = replica.id](const std::optional<ReplicationStatus>& status, bool) {
            Run* current = this->findRun(group, number);
            if (current != nullptr && status)
                current->resumedIn[id] = round;
        });
    }
    this->loop.schedule(roundInterval, [this, group, number] { this->sendRound(group, number); });
}

} // namespace lentiljunction
