#include "lentiljunction/failover/Promotion.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// An attempt that takes longer gives up, and another starts with a new term.
    constexpr Duration attemptLimit = std::chrono::milliseconds(1500);
    /// After a majority answered, the others get this long to show a greater log head.
    constexpr Duration straggleLimit = std::chrono::milliseconds(20);

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
    if (this->fenced.size() >= this->majority && !this->majorityAt)
        this->majorityAt = now;
    this->onTick(now);
}

void Promotion::onNoAnswer(const UpstreamId& upstream, Operation operation, TimePoint now)
{
    bool isNeeded = (this->state == State::Fencing && operation == Operation::Fence)
        || (this->state == State::Promoting && operation == Operation::Promote && upstream == this->target);
    if (isNeeded && now < this->startedAt + attemptLimit)
        this->commands.push_back({ upstream, operation, this->term });
    this->onTick(now);
}

void Promotion::onTick(TimePoint now)
{
    bool isRunning = this->state == State::Fencing || this->state == State::Promoting;
    if (isRunning && now >= this->startedAt + attemptLimit) {
        this->fail(this->state == State::Fencing ? "no majority could be fenced in time" : "the chosen upstream did not answer in time");
        return;
    }

    bool isEnough = this->fenced.size() == this->upstreams.size() || (this->majorityAt && now >= *this->majorityAt + straggleLimit);
    if (this->state == State::Fencing && isEnough)
        this->choose(now);
}

void Promotion::choose(TimePoint)
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
        this->fail("only a leaving upstream has the greatest log head");
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
