#include "EvidenceRounds.h"

#include "lentiljunction/leadership/LeadEvidence.h"

#include <utility>

namespace lentiljunction {

namespace {

    /// A question that waits longer for a connection proves nothing in time.
    constexpr std::chrono::milliseconds claimLimit { 150 };
    /// An upstream that has not answered by then is silent: a full wait for a connection, and as much
    /// again for the answer.
    constexpr std::chrono::milliseconds roundLimit { 300 };
    /// One failed round may be due to a busy upstream. After as many in a row the primary is not used
    /// until a round succeeds.
    constexpr int failuresUntilWithdrawn = 2;

} // namespace

EvidenceRounds::EvidenceRounds(const SessionProtocol& protocol, TrafficState& state)
    : protocol(protocol)
    , state(state)
    , timer(state.getLoop(), state.getClock(), [this] { this->expire(); })
{
}

void EvidenceRounds::prove(const GroupId& group, const Leader& leader, std::function<void(bool isProved)> callback)
{
    GroupRounds& rounds = this->groups[group];
    if (rounds.next == nullptr)
        rounds.next = std::make_shared<Round>();
    // A round for an earlier leader proves nothing for this one.
    if (rounds.next->askers.empty())
        rounds.next->leader = leader;
    if (rounds.next->leader != leader)
        return callback(false);
    rounds.next->askers.push_back(std::move(callback));
    if (rounds.current == nullptr)
        this->start(group);
}

void EvidenceRounds::start(const GroupId& group)
{
    GroupRounds& rounds = this->groups[group];
    std::shared_ptr<Round> round = std::exchange(rounds.next, nullptr);
    rounds.current = round;
    std::vector<UpstreamId> asked;
    for (const std::pair<const UpstreamId, UpstreamEntry>& entry : this->state.getUpstreams()->entries) {
        bool isKnown = entry.first == round->leader.upstream && this->findPrimaryStatus(round->leader);
        if (entry.second.group == group && !isKnown)
            asked.push_back(entry.first);
    }
    round->numAwaited = asked.size() + 1;
    round->deadline = this->state.getClock().now() + roundLimit;
    this->timer.setTimeIfEarlier(round->deadline);
    for (const UpstreamId& upstream : asked)
        this->ask(group, round, upstream);
    // Counts for the loop itself, so that answers that come at once do not end the round early.
    this->onAnswer(group, round, round->leader.upstream, std::nullopt);
}

std::optional<LeadStatus> EvidenceRounds::findPrimaryStatus(const Leader& leader) const
{
    std::map<UpstreamId, KnownPrimary>::const_iterator known = this->primaries.find(leader.upstream);
    if (known == this->primaries.end() || known->second.generation != leader.generation)
        return std::nullopt;
    return known->second.status;
}

void EvidenceRounds::ask(const GroupId& group, const std::shared_ptr<Round>& round, const UpstreamId& upstream)
{
    round->answers[upstream] = std::nullopt;
    std::shared_ptr<UpstreamPool> pool = this->state.findPool(upstream);
    TimePoint deadline = this->state.getClock().now() + claimLimit;
    pool->claim(Rank::Urgent, CallerId(), deadline, [this, group, round, upstream, pool](UpstreamLink* link, UpstreamPool::Denial) {
        if (link == nullptr)
            return this->onAnswer(group, round, upstream, std::nullopt);
        UpstreamCommand command;
        command.kind = UpstreamCommand::Kind::Status;
        link->send(command, [this, group, round, upstream, pool, link](const std::optional<SessionReply>& reply) {
            std::optional<LeadStatus> status;
            if (reply && !reply->rows.empty())
                status = this->protocol.decodeLeadStatus(reply->rows.front());
            if (reply)
                pool->release(link);
            else
                pool->discard(link);
            this->onAnswer(group, round, upstream, status);
        });
    });
}

void EvidenceRounds::onAnswer(const GroupId& group, const std::shared_ptr<Round>& round, const UpstreamId& upstream, std::optional<LeadStatus> status)
{
    if (status)
        round->answers[upstream] = std::move(status);
    round->numAwaited--;
    if (round->numAwaited == 0)
        this->finish(group, round);
}

void EvidenceRounds::expire()
{
    TimePoint now = this->state.getClock().now();
    std::vector<std::pair<GroupId, std::shared_ptr<Round>>> late;
    for (const std::pair<const GroupId, GroupRounds>& rounds : this->groups) {
        const std::shared_ptr<Round>& current = rounds.second.current;
        if (current != nullptr && current->deadline <= now)
            late.emplace_back(rounds.first, current);
        else if (current != nullptr)
            this->timer.setTimeIfEarlier(current->deadline);
    }
    for (const std::pair<GroupId, std::shared_ptr<Round>>& round : late)
        this->finish(round.first, round.second);
}

void EvidenceRounds::finish(const GroupId& group, const std::shared_ptr<Round>& round)
{
    // An answer that comes after the deadline belongs to no round any more.
    if (std::exchange(round->isOver, true))
        return;
    bool isProved = this->judge(*round);
    GroupRounds& rounds = this->groups[group];
    rounds.numFailuresInARow = isProved ? 0 : rounds.numFailuresInARow + 1;
    if (isProved)
        this->state.onLeadProved(group, round->leader);
    else if (rounds.numFailuresInARow >= failuresUntilWithdrawn)
        this->state.onLeadUnproved(group);
    rounds.current = nullptr;
    for (const std::function<void(bool)>& asker : std::exchange(round->askers, {}))
        asker(isProved);
    if (rounds.current == nullptr && rounds.next != nullptr)
        this->start(group);
}

bool EvidenceRounds::judge(const Round& round)
{
    std::optional<LeadStatus> primary = this->findPrimaryStatus(round.leader);
    std::vector<std::optional<LeadStatus>> others;
    for (const std::pair<const UpstreamId, std::optional<LeadStatus>>& answer : round.answers) {
        if (answer.first == round.leader.upstream)
            primary = answer.second;
        else
            others.push_back(answer.second);
    }
    bool isProved = isLeadProved(primary, others);
    if (isProved)
        this->primaries[round.leader.upstream] = { round.leader.generation, *primary };
    return isProved;
}

} // namespace lentiljunction
