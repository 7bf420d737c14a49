#include "GroupWatcher.h"

#include "lentiljunction/core/LogEvents.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    constexpr Duration idleInterval = std::chrono::seconds(2);
    /// Replicas other than the watcher's own upstream are probed less often.
    constexpr Duration idleOtherReplicaInterval = std::chrono::seconds(10);
    constexpr Duration activeOtherReplicaInterval = std::chrono::seconds(1);
    constexpr Duration activeInterval = std::chrono::milliseconds(100);
    constexpr Duration fastProbeInterval = std::chrono::milliseconds(1);
    /// Interval while the primary, or the probed upstream, does not answer: the failure must be confirmed quickly.
    constexpr Duration suspectInterval = std::chrono::milliseconds(50);
    constexpr Duration probeTimeout = std::chrono::milliseconds(250);
    constexpr Duration commandTimeout = std::chrono::milliseconds(400);
    constexpr Duration commandRetryDelay = std::chrono::milliseconds(20);
    constexpr Duration activeDuration = std::chrono::seconds(5);
    constexpr Duration fastProbingDuration = std::chrono::milliseconds(100);
    constexpr Duration initialTermRetryDelay = std::chrono::seconds(1);
    constexpr Duration maximumTermRetryDelay = std::chrono::seconds(32);
    /// A new block of terms is requested from the store when fewer than this are left.
    constexpr std::size_t minimumTermsInReserve = 4;

    std::string substituteTerm(std::string sql, Term term)
    {
        const std::string placeholder = "{term}";
        std::size_t at = sql.find(placeholder);
        if (at != std::string::npos)
            sql.replace(at, placeholder.size(), std::to_string(term.value()));
        return sql;
    }

} // namespace

GroupWatcher::GroupWatcher(Scheduler& loop, const Clock& clock, SqlConnector& connector, Listener& listener, const DatabaseConfig& database, const ProfileConfig& profile, const UpstreamId& ownUpstream)
    : loop(loop)
    , clock(clock)
    , connector(connector)
    , listener(listener)
    , database(database)
    , profile(profile)
    , ownUpstream(ownUpstream)
    , monitor(database, ownUpstream, static_cast<std::uint64_t>(clock.now().time_since_epoch().count()))
    , termRetryDelay(initialTermRetryDelay)
    , lifetime(std::make_shared<bool>(true))
{
    for (const UpstreamConfig& upstream : this->database.upstreams)
        this->probeStates[upstream.id];
}

GroupWatcher::~GroupWatcher() = default;

void GroupWatcher::setActive()
{
    TimePoint now = this->clock.now();
    bool wasActive = now < this->activeUntil;
    this->activeUntil = now + activeDuration;
    if (!wasActive)
        this->makeProbesDue();
}

bool GroupWatcher::isActive() const
{
    return this->clock.now() < this->activeUntil;
}

void GroupWatcher::startFastProbing()
{
    TimePoint now = this->clock.now();
    bool wasFast = now < this->fastUntil;
    this->fastUntil = now + fastProbingDuration;
    this->activeUntil = now + activeDuration;
    if (wasFast)
        return;

    this->makeProbesDue();
    this->onTick();
}

void GroupWatcher::makeProbesDue()
{
    for (std::pair<const UpstreamId, ProbeState>& entry : this->probeStates)
        entry.second.nextAt = std::min(entry.second.nextAt, this->clock.now());
}

void GroupWatcher::onTick()
{
    TimePoint now = this->clock.now();
    for (const UpstreamConfig& upstream : this->database.upstreams) {
        ProbeState& state = this->probeStates[upstream.id];
        if (!state.isBusy && now >= state.nextAt)
            this->probe(upstream);
    }

    bool needsTerms = this->isPromotionAllowed && this->monitor.getPrimary() && this->getNumTerms() < minimumTermsInReserve;
    if (needsTerms && !this->isRequestingTerms && now >= this->nextTermRequest) {
        this->isRequestingTerms = true;
        this->listener.requestTerms(this->database.id, this->monitor.getHighestTerm());
    }

    if (this->promotion)
        this->advancePromotion();
    else
        this->evaluatePrimary();
}

void GroupWatcher::onTerms(const std::optional<TermRecord::Grant>& grant)
{
    this->isRequestingTerms = false;
    this->nextTermRequest = this->clock.now() + this->termRetryDelay;
    if (!grant) {
        this->termRetryDelay = std::min(this->termRetryDelay * 2, maximumTermRetryDelay);
        return;
    }

    this->termRetryDelay = initialTermRetryDelay;
    this->reserve.add(grant->first, grant->last);
    logEvent(events::termsReserved, "database=" + this->database.id.toString() + " first=" + std::to_string(grant->first.value()) + " last=" + std::to_string(grant->last.value()));
}

bool GroupWatcher::reaches(const UpstreamId& upstream) const
{
    std::map<UpstreamId, ProbeState>::const_iterator found = this->probeStates.find(upstream);
    return found != this->probeStates.end() && found->second.numFailures == 0 && this->monitor.isReachable(upstream);
}

std::optional<PrimaryHint> GroupWatcher::getPrimary() const
{
    std::optional<UpstreamId> primary = this->monitor.getPrimary();
    if (!primary)
        return std::nullopt;
    return PrimaryHint { this->monitor.getPrimaryTerm(), *primary };
}

bool GroupWatcher::hasConfiguration(const DatabaseConfig& otherDatabase, const ProfileConfig& otherProfile, const UpstreamId& otherUpstream) const
{
    return this->database == otherDatabase && this->profile == otherProfile && this->ownUpstream == otherUpstream;
}

void GroupWatcher::probe(const UpstreamConfig& upstream)
{
    ProbeState& state = this->probeStates[upstream.id];
    state.isBusy = true;
    if (state.isOpen) {
        this->sendProbe(upstream);
        return;
    }

    state.connection = this->connector.create(upstream);
    std::weak_ptr<bool> alive = this->lifetime;
    state.connection->open(probeTimeout, [this, alive, upstream](bool isOpen) {
        if (alive.expired())
            return;
        if (!isOpen) {
            this->onProbeLost(upstream);
            return;
        }
        this->probeStates[upstream.id].isOpen = true;
        this->sendProbe(upstream);
    });
}

void GroupWatcher::sendProbe(const UpstreamConfig& upstream)
{
    ProbeState& state = this->probeStates[upstream.id];
    state.requestedAt = this->clock.now();
    std::weak_ptr<bool> alive = this->lifetime;
    state.connection->execute(this->profile.statusSql, probeTimeout, [this, alive, upstream](const SqlReply& reply) {
        if (!alive.expired())
            this->onProbeReply(upstream, reply);
    });
}

void GroupWatcher::onProbeReply(const UpstreamConfig& upstream, const SqlReply& reply)
{
    Failure failure;
    std::optional<UpstreamStatus> status;
    if (reply.status == SqlReply::Status::Completed && !reply.results.empty())
        status = parseUpstreamStatus(reply.results.front(), failure);
    if (!status) {
        this->onProbeLost(upstream);
        return;
    }

    ProbeState& state = this->probeStates[upstream.id];
    state.isBusy = false;
    state.numFailures = 0;
    state.nextAt = this->clock.now() + this->getInterval(upstream.id);
    this->monitor.onStatus(upstream.id, *status, this->clock.now());
    this->listener.onProbed(this->database.id, upstream.id, *status, state.requestedAt);
    if (this->getInterval(upstream.id) == fastProbeInterval) {
        std::weak_ptr<bool> alive = this->lifetime;
        this->loop.schedule(fastProbeInterval, [this, alive] {
            if (!alive.expired())
                this->onTick();
        });
    }
}

void GroupWatcher::onProbeLost(const UpstreamConfig& upstream)
{
    ProbeState& state = this->probeStates[upstream.id];
    std::shared_ptr<SqlConnection> closing = std::move(state.connection);
    this->loop.post([closing] { closing->close(); });
    state.connection = nullptr;
    state.isOpen = false;
    state.isBusy = false;
    state.numFailures++;
    this->monitor.onProbeFailed(upstream.id, this->clock.now());
    // Probes the other upstreams at once: whether a majority answers must not wait for the long
    // interval of an idle group.
    if (!this->monitor.isPrimaryReachable())
        this->makeProbesDue();
    state.nextAt = this->clock.now() + suspectInterval;
}

Duration GroupWatcher::getInterval(const UpstreamId& upstream) const
{
    TimePoint now = this->clock.now();
    // Each commit returns the primary's status, so only replicas need fast probes.
    bool isPrimary = upstream == this->monitor.getPrimary();
    if (now < this->fastUntil && !isPrimary)
        return fastProbeInterval;
    if (!this->monitor.isPrimaryReachable())
        return suspectInterval;
    bool isOtherReplica = upstream != this->ownUpstream && !isPrimary;
    if (now < this->activeUntil)
        return isOtherReplica ? activeOtherReplicaInterval : activeInterval;
    return isOtherReplica ? idleOtherReplicaInterval : idleInterval;
}

void GroupWatcher::evaluatePrimary()
{
    TimePoint now = this->clock.now();
    bool isReachable = this->monitor.isPrimaryReachable();
    if (this->wasReachable != isReachable && this->monitor.getPrimary()) {
        this->wasReachable = isReachable;
        this->listener.onPrimaryReachable(this->database.id, isReachable);
    }

    if (!this->isPromotionAllowed)
        return;

    GroupMonitor::Action action = this->monitor.getNextAction(now);
    if (action == GroupMonitor::Action::RequestReachabilityReports) {
        logEvent(events::primarySuspected, "database=" + this->database.id.toString());
        this->monitor.onReachabilityRequested(this->listener.requestReachabilityReports(this->database.id, this->monitor.getPrimary()), now);
    }
    if (action == GroupMonitor::Action::Promote)
        this->startPromotion();
}

void GroupWatcher::startPromotion()
{
    TimePoint now = this->clock.now();
    std::optional<Term> term = this->reserve.take(this->monitor.getHighestTerm());
    if (!term) {
        this->monitor.onPromotionEnded(now);
        logEvent(events::promotionFailed, "database=" + this->database.id.toString() + " reason=\"no term in reserve\"");
        return;
    }

    std::vector<UpstreamId> all;
    std::vector<UpstreamId> excluded;
    std::vector<UpstreamId> promotable = this->monitor.getPromotableUpstreams();
    for (const UpstreamConfig& upstream : this->database.upstreams) {
        all.push_back(upstream.id);
        const UpstreamStatus* status = this->monitor.findStatus(upstream.id);
        if (status != nullptr && status->isLeaving)
            excluded.push_back(upstream.id);
    }
    logEvent(events::promotionStarted, "database=" + this->database.id.toString() + " term=" + std::to_string(term->value()));
    this->promotion.emplace(*term, all, excluded, this->database.getMajority(), now);
    this->advancePromotion();
}

void GroupWatcher::advancePromotion()
{
    this->promotion->onTick(this->clock.now());
    for (const Promotion::Command& command : this->promotion->takeCommands())
        this->sendCommand(command);
    if (this->promotion->getState() == Promotion::State::Done || this->promotion->getState() == Promotion::State::Failed)
        this->endPromotion();
}

void GroupWatcher::sendCommand(const Promotion::Command& command)
{
    const UpstreamConfig* upstream = this->database.findUpstream(command.upstream);
    std::uint64_t number = this->nextCommand++;
    std::shared_ptr<SqlConnection> connection = this->connector.create(*upstream);
    this->commandConnections[number] = connection;
    const std::string& form = command.operation == Promotion::Operation::Fence ? this->profile.fenceSql : this->profile.promoteSql;
    std::string sql = substituteTerm(form, command.term);

    std::weak_ptr<bool> alive = this->lifetime;
    std::function<void(const SqlReply&)> finish = [this, alive, number, command](const SqlReply& reply) {
        if (alive.expired())
            return;
        std::shared_ptr<SqlConnection> closing = this->commandConnections[number];
        this->commandConnections.erase(number);
        this->loop.post([closing] { closing->close(); });
        this->onCommandReply(command, reply);
    };
    connection->open(commandTimeout, [connection = connection.get(), sql, finish](bool isOpen) {
        if (isOpen)
            connection->execute(sql, commandTimeout, finish);
        else
            finish(SqlReply());
    });
}

void GroupWatcher::onCommandReply(const Promotion::Command& command, const SqlReply& reply)
{
    bool isCurrent = this->promotion && this->promotion->getTerm() == command.term;
    if (!isCurrent)
        return;

    Failure failure;
    std::optional<UpstreamStatus> status;
    if (reply.status == SqlReply::Status::Completed && !reply.results.empty())
        status = parseUpstreamStatus(reply.results.front(), failure);
    if (status) {
        this->monitor.onStatus(command.upstream, *status, this->clock.now());
        this->promotion->onAnswer(command.upstream, command.operation, *status, this->clock.now());
        this->advancePromotion();
        return;
    }

    std::weak_ptr<bool> alive = this->lifetime;
    this->loop.schedule(commandRetryDelay, [this, alive, command] {
        if (alive.expired() || !this->promotion || this->promotion->getTerm() != command.term)
            return;
        this->promotion->onNoAnswer(command.upstream, command.operation, this->clock.now());
        this->advancePromotion();
    });
}

void GroupWatcher::endPromotion()
{
    PrimaryHint primary { this->promotion->getTerm(), this->promotion->getTarget() };
    std::string reason = this->promotion->getFailureReason();
    this->promotion.reset();
    this->monitor.onPromotionEnded(this->clock.now());
    this->startFastProbing();
    this->listener.onPromotionEnded(this->database.id, primary, reason);
}

} // namespace lentiljunction
