#include "lentiljunction/routing/AttemptPolicy.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// The wait before a request is tried again where the way to it may have changed.
    constexpr Duration firstDelay = std::chrono::milliseconds(2);
    constexpr Duration maximumDelay = std::chrono::milliseconds(40);

    /// Whether another try may find a better place.
    bool isPassing(NotRunReason reason)
    {
        switch (reason) {
        case NotRunReason::NoPrimary:
        case NotRunReason::NotPrimary:
        case NotRunReason::WrongGate:
        case NotRunReason::UpstreamUnavailable:
        case NotRunReason::UpstreamLeaving:
        case NotRunReason::PeerUnreachable:
        case NotRunReason::ReplicaBehind:
        case NotRunReason::AgeNotProved:
        case NotRunReason::Draining:
            return true;
        default:
            return false;
        }
    }

    /// Whether the attempt cost an upstream work, so that the retry has to be paid for.
    bool costsUpstream(NotRunReason reason)
    {
        return reason == NotRunReason::UpstreamUnavailable || reason == NotRunReason::AgeNotProved;
    }

} // namespace

AttemptPolicy::AttemptPolicy(Repeatability repeatability, TimePoint deadline)
    : repeatability(repeatability)
    , deadline(deadline)
{
}

AttemptPolicy::Decision AttemptPolicy::onResult(const AttemptResult& result, RetryBudget& budget, TimePoint now)
{
    this->numTries++;
    switch (result.kind) {
    case AttemptResult::Kind::Answered:
        return this->onAnswered(result, budget, now);
    case AttemptResult::Kind::NotSent:
        return this->retryOr(Outcome::notRun(NotRunReason::PeerUnreachable, "no gate of the database is reached"), firstDelay, false, budget, now);
    case AttemptResult::Kind::LinkLost:
        return this->onUnclear("the link to the gate was lost while the request ran", budget, now);
    }
    return this->answer(Outcome::unknown("the attempt ended in no known way"));
}

Outcome AttemptPolicy::onDeadline(bool isUnderWay) const
{
    if (!isUnderWay && !this->hasUnclearAttempt)
        return Outcome::notRun(NotRunReason::DeadlinePassed, "the deadline passed before a gate took the request");
    return Outcome::unknown("the deadline passed while the request was under way");
}

AttemptPolicy::Decision AttemptPolicy::onAnswered(const AttemptResult& result, RetryBudget& budget, TimePoint now)
{
    const Outcome& outcome = result.outcome;
    if (result.isInDoubt || outcome.kind == OutcomeKind::Unknown)
        return this->onUnclear(outcome.detail, budget, now);
    if (outcome.kind == OutcomeKind::Completed)
        return this->answer(outcome);

    // A rejection tells about this attempt only: an earlier one may have run elsewhere.
    if (outcome.kind == OutcomeKind::Rejected) {
        if (!this->hasUnclearAttempt)
            return this->answer(outcome);
        return this->onUnclear("a repeat was rejected while an earlier attempt is unclear: " + outcome.detail, budget, now);
    }

    if (!isPassing(outcome.reason))
        return this->answer(outcome);
    int shift = std::min(this->numTries - 1, 5);
    Duration delay = std::min(firstDelay * (1 << shift), maximumDelay);
    return this->retryOr(outcome, delay, costsUpstream(outcome.reason), budget, now);
}

AttemptPolicy::Decision AttemptPolicy::onUnclear(const std::string& detail, RetryBudget& budget, TimePoint now)
{
    this->hasUnclearAttempt = true;
    if (this->repeatability == Repeatability::Once)
        return this->answer(Outcome::unknown(detail));
    return this->retryOr(Outcome::unknown(detail), firstDelay, true, budget, now);
}

AttemptPolicy::Decision AttemptPolicy::retryOr(const Outcome& outcome, Duration delay, bool isPaid, RetryBudget& budget, TimePoint now) const
{
    bool hasTime = now + delay < this->deadline;
    if (!hasTime || (isPaid && !budget.tryRetry()))
        return this->answer(outcome);

    Decision decision;
    decision.isRetry = true;
    decision.delay = delay;
    return decision;
}

AttemptPolicy::Decision AttemptPolicy::answer(Outcome outcome) const
{
    Decision decision;
    decision.outcome = std::move(outcome);
    if (this->hasUnclearAttempt && decision.outcome.kind == OutcomeKind::NotRun)
        decision.outcome = Outcome::unknown("an earlier attempt may have run; last seen: " + decision.outcome.detail);
    return decision;
}

} // namespace lentiljunction
