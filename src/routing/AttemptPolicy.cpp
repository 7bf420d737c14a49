#include "lentiljunction/routing/AttemptPolicy.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// The shortest delay before a retry, in which a change of gate or primary can become known.
    constexpr Duration initialDelay = std::chrono::milliseconds(2);
    constexpr Duration maximumDelay = std::chrono::milliseconds(40);

    /// Whether the reason may not hold for the next attempt, which can reach another gate or upstream.
    bool isTransient(NotRunReason reason)
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

    /// Whether the attempt caused load on an upstream, so that the retry counts against the retry budget.
    bool loadsUpstream(NotRunReason reason)
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
    this->numAttempts++;
    switch (result.kind) {
    case AttemptResult::Kind::Answered:
        return this->onAnswered(result, budget, now);
    case AttemptResult::Kind::NotSent:
        return this->retryOrAnswer(Outcome::notRun(NotRunReason::PeerUnreachable, "no gate of the database is reachable"), initialDelay, false, budget, now);
    case AttemptResult::Kind::LinkLost:
        return this->onUnknownResult("the link to the gate failed while the request was running", budget, now);
    }
    return this->answer(Outcome::unknown("the attempt ended in an unexpected state"));
}

Outcome AttemptPolicy::onDeadline(bool isUnderWay) const
{
    if (!isUnderWay && !this->hasUnknownAttempt)
        return Outcome::notRun(NotRunReason::DeadlinePassed, "the deadline expired before a gate accepted the request");
    return Outcome::unknown("the deadline expired while the request was running");
}

AttemptPolicy::Decision AttemptPolicy::onAnswered(const AttemptResult& result, RetryBudget& budget, TimePoint now)
{
    const Outcome& outcome = result.outcome;
    if (result.isInDoubt || outcome.kind == OutcomeKind::Unknown)
        return this->onUnknownResult(outcome.detail, budget, now);
    if (outcome.kind == OutcomeKind::Completed)
        return this->answer(outcome);

    // A rejection applies to this attempt only: an earlier one may have been executed elsewhere.
    if (outcome.kind == OutcomeKind::Rejected) {
        if (!this->hasUnknownAttempt)
            return this->answer(outcome);
        return this->onUnknownResult("a retry was rejected while the outcome of an earlier attempt is unknown: " + outcome.detail, budget, now);
    }

    if (!isTransient(outcome.reason))
        return this->answer(outcome);
    int shift = std::min(this->numAttempts - 1, 5);
    Duration delay = std::min(initialDelay * (1 << shift), maximumDelay);
    return this->retryOrAnswer(outcome, delay, loadsUpstream(outcome.reason), budget, now);
}

AttemptPolicy::Decision AttemptPolicy::onUnknownResult(const std::string& detail, RetryBudget& budget, TimePoint now)
{
    this->hasUnknownAttempt = true;
    if (this->repeatability == Repeatability::Once)
        return this->answer(Outcome::unknown(detail));
    return this->retryOrAnswer(Outcome::unknown(detail), initialDelay, true, budget, now);
}

AttemptPolicy::Decision AttemptPolicy::retryOrAnswer(const Outcome& outcome, Duration delay, bool usesBudget, RetryBudget& budget, TimePoint now) const
{
    bool hasTime = now + delay < this->deadline;
    if (!hasTime || (usesBudget && !budget.tryRetry()))
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
    if (this->hasUnknownAttempt && decision.outcome.kind == OutcomeKind::NotRun)
        decision.outcome = Outcome::unknown("an earlier attempt may have been executed; last result: " + decision.outcome.detail);
    return decision;
}

} // namespace lentiljunction
