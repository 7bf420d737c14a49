#include "PrimaryVerificationRounds.h"

#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/leadership/PrimaryVerification.h"

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
    GroupRounds& rounds = this->groups[group];
    if (rounds.next == nullptr)
        rounds.next = std::make_shared<Round>();
    // A round for an earlier primary does not verify this one.
    if (rounds.next->waiters.empty())
        rounds.next->primary = primary;
    if (rounds.next->primary != primary)
        return callback(false);
    rounds.next->waiters.push_back(std::move(callback));
    if (rounds.current == nullptr)
        this->start(group);
}

void PrimaryVerificationRounds::start(const GroupId& group)
{
    GroupRounds& rounds = this->groups[group];
    std::shared_ptr<Round> round = std::exchange(rounds.next, nullptr);
    rounds.current = round;
    std::vector<UpstreamId> queried;
    for (const std::pair<const UpstreamId, UpstreamEntry>& entry : this->state.getUpstreams()->entries) {
        bool isKnown = entry.first == round->primary.upstream && this->findPrimaryStatus(round->primary);
        if (entry.second.group == group && !isKnown)
            queried.push_back(entry.first);
    }
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
    if (known == this->primaries.end() || known->second.generation != primary.generation)
        return std::nullopt;
    return known->second.status;
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
            if (reply && !reply->rows.empty())
                status = this->protocol.decodeReplicationStatus(reply->rows.front());
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
    if (status)
        round->responses[upstream] = std::move(status);
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
    if (isVerified)
        this->state.onPrimaryVerified(group, round->primary);
    else if (rounds.numConsecutiveFailures >= failuresUntilUnverified)
        this->state.onPrimaryVerificationFailed(group);
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
    std::vector<std::optional<ReplicationStatus>> others;
    for (const std::pair<const UpstreamId, std::optional<ReplicationStatus>>& response : round.responses) {
        if (response.first == round.primary.upstream)
            primaryStatus = response.second;
        else
            others.push_back(response.second);
    }
    for (const std::pair<const UpstreamId, std::optional<ReplicationStatus>>& response : round.responses) {
        if (response.second && response.first != round.primary.upstream)
            this->logNewerTerm(group, round, response.first, *response.second, primaryStatus);
    }
    bool isVerified = isPrimaryVerified(primaryStatus, others);
    if (isVerified)
        this->primaries[round.primary.upstream] = { round.primary.generation, *primaryStatus };
    return isVerified;
}

} // namespace lentiljunction
