#include "PrimaryVerificationRounds.h"

#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/leadership/PrimaryVerification.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// A query that waits longer for a connection would be answered too late for the round.
    constexpr std::chrono::milliseconds connectionTimeout { 150 };
    /// Time for all responses of a round: the full wait for a connection, and as much again for the response.
    constexpr std::chrono::milliseconds roundTimeout { 300 };
    /// A single failed round may be due to a busy upstream. After this number of consecutive failures the
    /// primary is not used until a round succeeds.
    constexpr int failuresUntilUnverified = 2;

} // namespace

PrimaryVerificationRounds::PrimaryVerificationRounds(const SessionProtocol& protocol, TrafficState& state)
    : protocol(protocol)
    , state(state)
    , timer(state.getLoop(), state.getClock(), [this] { this->finishExpired(); })
{
}

void PrimaryVerificationRounds::verify(const GroupId& group, const PrimaryTenure& primary, std::function<void(bool isVerified)> callback)
{
    if (!this->state.isKnownPrimary(group, primary))
        return callback(false);
    // A round for an earlier primary does not verify this one, and must not delay it.
    for (std::shared_ptr<Round> GroupRounds::*member : { &GroupRounds::current, &GroupRounds::next }) {
        std::shared_ptr<Round> round = this->groups[group].*member;
        if (round == nullptr || round->primary == primary)
            continue;
        this->groups[group].*member = nullptr;
        this->abandon(round);
    }
    GroupRounds& rounds = this->groups[group];
    if (rounds.next == nullptr)
        rounds.next = std::make_shared<Round>();
    rounds.next->primary = primary;
    rounds.next->waiters.push_back(std::move(callback));
    if (rounds.current == nullptr)
        this->start(group);
}

void PrimaryVerificationRounds::abandon(const std::shared_ptr<Round>& round)
{
    round->isFinished = true;
    for (const std::function<void(bool)>& waiter : std::exchange(round->waiters, {}))
        waiter(false);
}

void PrimaryVerificationRounds::start(const GroupId& group)
{
    GroupRounds& rounds = this->groups[group];
    std::shared_ptr<Round> round = std::exchange(rounds.next, nullptr);
    rounds.current = round;
    std::optional<VerificationScope> scope = this->state.findVerificationScope(group, round->primary);
    // Without a query that can succeed, the statements that wait are refused at once.
    if (!scope || this->state.getUpstreams()->find(round->primary.upstream) == nullptr)
        return this->finish(group, round);
    std::set<UpstreamId> queried = scope->required;
    if (!this->findPrimaryStatus(round->primary))
        queried.insert(round->primary.upstream);
    round->numAwaited = queried.size() + 1;
    round->deadline = this->state.getClock().now() + roundTimeout;
    this->timer.setTimeIfEarlier(round->deadline);
    for (const UpstreamId& upstream : queried)
        this->requestStatus(group, round, upstream);
    // Completes the extra count of numAwaited, which keeps immediate responses from ending the round before the
    // loop is done.
    this->onResponse(group, round, round->primary.upstream, std::nullopt);
}

std::optional<ReplicationStatus> PrimaryVerificationRounds::findPrimaryStatus(const PrimaryTenure& primary) const
{
    std::map<UpstreamId, KnownPrimary>::const_iterator known = this->primaries.find(primary.upstream);
    const UpstreamEntry* entry = this->state.getUpstreams()->find(primary.upstream);
    bool isSame = known != this->primaries.end() && entry != nullptr && known->second.generation == primary.generation && known->second.startedAt == entry->startedAt;
    return isSame ? std::optional<ReplicationStatus>(known->second.status) : std::nullopt;
}

void PrimaryVerificationRounds::requestStatus(const GroupId& group, const std::shared_ptr<Round>& round, const UpstreamId& upstream)
{
    round->responses[upstream] = std::nullopt;
    std::shared_ptr<ConnectionSource> source = this->state.findSource(upstream);
    TimePoint deadline = this->state.getClock().now() + connectionTimeout;
    source->acquire({ Rank::Urgent, CallerId(), deadline, nullptr, WorkspaceId(), true }, [this, group, round, upstream, source](StatementConnection* connection, ConnectionSource::Denial) {
        if (connection == nullptr)
            return this->onResponse(group, round, upstream, std::nullopt);
        UpstreamCommand command;
        command.kind = UpstreamCommand::Kind::Status;
        connection->sendLast(command, [this, group, round, upstream, source, connection](const std::optional<SessionReply>& reply) {
            std::optional<ReplicationStatus> status;
            if (reply && !reply->rows.isEmpty())
                status = this->protocol.decodeReplicationStatus(reply->rows.getFirst());
            if (reply)
                source->release(connection);
            else
                source->discard(connection);
            this->onResponse(group, round, upstream, status);
        });
    });
}

void PrimaryVerificationRounds::onResponse(const GroupId& group, const std::shared_ptr<Round>& round, const UpstreamId& upstream, std::optional<ReplicationStatus> status)
{
    std::optional<ReplicationStatus> primary = this->findPrimaryStatus(round->primary);
    // The primary may lead a later term than the remembered one, or have lost the lead.
    bool isContradicted = !round->isFinished && status && primary && (status->isPrimary || status->term > primary->term);
    if (status)
        round->responses[upstream] = std::move(status);
    if (isContradicted && round->responses.count(round->primary.upstream) == 0) {
        round->numAwaited++;
        this->requestStatus(group, round, round->primary.upstream);
    }
    round->numAwaited--;
    if (round->numAwaited == 0)
        this->finish(group, round);
}

void PrimaryVerificationRounds::finishExpired()
{
    TimePoint now = this->state.getClock().now();
    std::vector<std::pair<GroupId, std::shared_ptr<Round>>> expired;
    for (const std::pair<const GroupId, GroupRounds>& rounds : this->groups) {
        const std::shared_ptr<Round>& current = rounds.second.current;
        if (current != nullptr && current->deadline <= now)
            expired.emplace_back(rounds.first, current);
        else if (current != nullptr)
            this->timer.setTimeIfEarlier(current->deadline);
    }
    for (const std::pair<GroupId, std::shared_ptr<Round>>& round : expired)
        this->finish(round.first, round.second);
}

void PrimaryVerificationRounds::finish(const GroupId& group, const std::shared_ptr<Round>& round)
{
    // The round may have expired before its last response arrived.
    if (std::exchange(round->isFinished, true))
        return;
    bool isVerified = this->evaluate(group, *round);
    GatewayMetrics::Verifications& counts = this->numFinished[group];
    (isVerified ? counts.numPassed : counts.numFailed)++;
    GroupRounds& rounds = this->groups[group];
    rounds.numConsecutiveFailures = isVerified ? 0 : rounds.numConsecutiveFailures + 1;
    // Without all upstreams that a verification needs, the next round fails as well.
    bool isImpossible = !this->state.findVerificationScope(group, round->primary);
    if (isVerified)
        this->state.onPrimaryVerified(group, round->primary, this->primaries.at(round->primary.upstream).status.term);
    else if (isImpossible || rounds.numConsecutiveFailures >= failuresUntilUnverified)
        this->state.onPrimaryVerificationFailed(group);
    for (const std::pair<const UpstreamId, std::optional<ReplicationStatus>>& response : round->responses) {
        if (response.second)
            this->state.onTerm(response.first, response.second->term);
    }
    rounds.current = nullptr;
    for (const std::function<void(bool)>& waiter : std::exchange(round->waiters, {}))
        waiter(isVerified);
    if (rounds.current == nullptr && rounds.next != nullptr)
        this->start(group);
}

void PrimaryVerificationRounds::logNewerTerm(const GroupId& group, const Round& round, const UpstreamId& upstream, const ReplicationStatus& status, const std::optional<ReplicationStatus>& primaryStatus)
{
    bool isNewer = primaryStatus && primaryStatus->term < status.term;
    Term& logged = this->loggedTerms[upstream];
    if (!status.isPrimary || !isNewer || !(logged < status.term))
        return;
    logged = status.term;
    logEvent(events::promotionUnrequested, "group=" + group.toString() + " upstream=" + upstream.toString() + " term=" + std::to_string(status.term.value()) + " primary=" + round.primary.upstream.toString() + " generation=" + std::to_string(round.primary.generation) + " primary_term=" + std::to_string(primaryStatus->term.value()));
}

bool PrimaryVerificationRounds::evaluate(const GroupId& group, const Round& round)
{
    std::optional<ReplicationStatus> primaryStatus = this->findPrimaryStatus(round.primary);
    std::map<UpstreamId, std::optional<ReplicationStatus>> others;
    for (const std::pair<const UpstreamId, std::optional<ReplicationStatus>>& response : round.responses) {
        if (response.first == round.primary.upstream)
            primaryStatus = response.second;
        else
            others.insert(response);
    }
    for (const std::pair<const UpstreamId, std::optional<ReplicationStatus>>& response : round.responses) {
        if (response.second && response.first != round.primary.upstream)
            this->logNewerTerm(group, round, response.first, *response.second, primaryStatus);
    }
    // The list or the record may have changed since the queries were sent.
    std::optional<VerificationScope> scope = this->state.findVerificationScope(group, round.primary);
    const UpstreamEntry* entry = this->state.getUpstreams()->find(round.primary.upstream);
    if (primaryStatus && !primaryStatus->isPrimary)
        this->primaries.erase(round.primary.upstream);
    if (entry == nullptr || !this->state.isKnownPrimary(group, round.primary) || !scope || !isPrimaryVerified(*scope, primaryStatus, others))
        return false;
    std::optional<Term> known = this->findKnownTerm(group, round.primary);
    this->primaries[round.primary.upstream] = { round.primary.generation, entry->startedAt, *primaryStatus };
    if (!known || primaryStatus->term <= *known)
        return true;
    this->state.onLedTerm(group, round.primary, primaryStatus->term);
    // The primary was replaced and leads again. The answers that wait may be from before its return.
    if (std::shared_ptr<Round> next = std::exchange(this->groups[group].next, nullptr))
        this->abandon(next);
    return false;
}

std::optional<Term> PrimaryVerificationRounds::findKnownTerm(const GroupId& group, const PrimaryTenure& primary) const
{
    std::map<UpstreamId, KnownPrimary>::const_iterator known = this->primaries.find(primary.upstream);
    if (known != this->primaries.end() && known->second.generation == primary.generation)
        return known->second.status.term;
    const PrimaryEntry* entry = this->state.getView().latest.record->find(group);
    return entry == nullptr || !entry->isTermKnown() ? std::nullopt : std::optional<Term>(entry->term);
}

} // namespace lentiljunction
