#include "lentiljunction/failover/Promotion.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// An attempt that takes longer fails; the next one uses a new term.
    constexpr Duration attemptTimeout = std::chrono::milliseconds(1500);
    /// How long to wait, after a majority answered, for the remaining upstreams: one of them may have a
    /// higher log head.
    constexpr Duration stragglerTimeout = std::chrono::milliseconds(20);

} // namespace

Promotion::Promotion(Term term, std::vector<UpstreamId> upstreams, std::vector<UpstreamId> excluded, std::size_t majority, TimePoint now)
    : term(term)
    , upstreams(std::move(upstreams))
    , excluded(std::move(excluded))
    , majority(majority)
    , startedAt(now)
{
    for (const UpstreamId& upstream : this->upstreams)
        this->commands.push_back({ upstream, Operation::Fence, term });
}

std::vector<Promotion::Command> Promotion::takeCommands()
{
    return std::exchange(this->commands, {});
}

void Promotion::onAnswer(const UpstreamId& upstream, Operation operation, const UpstreamStatus& status, TimePoint now)
{
    if (this->state == State::Done || this->state == State::Failed)
        return;

    if (status.fencedTerm > this->term) {
        this->fail(upstream.toString() + " is fenced at the higher term " + std::to_string(status.fencedTerm.value()));
        return;
    }
    if (status.fencedTerm < this->term)
        return;

    if (operation == Operation::Promote) {
        bool isPromoted = upstream == this->target && status.isPrimary && status.head.term == this->term;
        if (isPromoted)
            this->state = State::Done;
        return;
    }

    if (this->state != State::Fencing)
        return;
    this->fenced[upstream] = status;
    if (this->fenced.size() >= this->majority && !this->majorityReachedAt)
        this->majorityReachedAt = now;
    this->onTick(now);
}

void Promotion::onNoAnswer(const UpstreamId& upstream, Operation operation, TimePoint now)
{
    bool isNeeded = (this->state == State::Fencing && operation == Operation::Fence)
        || (this->state == State::Promoting && operation == Operation::Promote && upstream == this->target);
    if (isNeeded && now < this->startedAt + attemptTimeout)
        this->commands.push_back({ upstream, operation, this->term });
    this->onTick(now);
}

void Promotion::onTick(TimePoint now)
{
    bool isRunning = this->state == State::Fencing || this->state == State::Promoting;
    if (isRunning && now >= this->startedAt + attemptTimeout) {
        this->fail(this->state == State::Fencing ? "no majority of the upstreams was fenced before the timeout" : "the upstream selected for promotion did not answer before the timeout");
        return;
    }

    bool hasEnoughAnswers = this->fenced.size() == this->upstreams.size() || (this->majorityReachedAt && now >= *this->majorityReachedAt + stragglerTimeout);
    if (this->state == State::Fencing && hasEnoughAnswers)
        this->chooseTarget(now);
}

void Promotion::chooseTarget(TimePoint)
{
    const UpstreamId* best = nullptr;
    LogPoint bestHead;
    LogPoint greatestHead;
    for (const std::pair<const UpstreamId, UpstreamStatus>& entry : this->fenced) {
        const LogPoint& head = entry.second.head;
        greatestHead = std::max(greatestHead, head);
        if (this->isExcluded(entry.first))
            continue;
        if (best == nullptr || bestHead < head) {
            best = &entry.first;
            bestHead = head;
        }
    }

    if (best == nullptr || bestHead < greatestHead) {
        this->fail("the upstream with the highest log head is leaving");
        return;
    }
    this->target = *best;
    this->state = State::Promoting;
    this->commands.push_back({ this->target, Operation::Promote, this->term });
}

void Promotion::fail(std::string reason)
{
    this->state = State::Failed;
    this->failureReason = std::move(reason);
    this->commands.clear();
}

bool Promotion::isExcluded(const UpstreamId& upstream) const
{
    return std::find(this->excluded.begin(), this->excluded.end(), upstream) != this->excluded.end();
}

} // namespace lentiljunction
