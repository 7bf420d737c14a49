#pragma once

#include "lentiljunction/admission/RetryBudget.h"
#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Outcome.h"

namespace lentiljunction {

/// Whether a request may be retried.
enum class Repeatability {
    /// A read has no side effects and may be retried at any time.
    Read,
    /// A write with an idempotency key may be retried; the database executes it once.
    Keyed,
    /// A write without a key is not retried once any part of it may have reached an upstream.
    Once,
};

/// The result of one attempt to execute a request.
struct AttemptResult {
    /// How the attempt ended.
    enum class Kind {
        /// A gate answered.
        Answered,
        /// The request was not sent: it cannot have been executed.
        NotSent,
        /// The link to the peer failed or timed out after the request was sent.
        LinkLost,
    };

    Kind kind = Kind::Answered;
    /// For Answered.
    Outcome outcome;
    /// For Answered: whether a COMMIT was sent whose result is unknown.
    bool isInDoubt = false;
};

/// Decides after each attempt of one request whether to answer the caller or to retry.
///
/// Records whether any attempt may have been executed. Once one may have been, the request is never
/// answered with NotRun.
///
/// Not thread-safe; one per request.
///
/// @code
/// AttemptPolicy policy(Repeatability::Keyed, deadline);
/// AttemptPolicy::Decision decision = policy.onResult(result, budget, clock.now());
/// @endcode
class AttemptPolicy {
public:
    /// The next action: a retry or an answer.
    struct Decision {
        bool isRetry = false;
        /// For a retry: the delay before it.
        Duration delay { 0 };
        /// For an answer: the outcome to report.
        Outcome outcome;
    };

    /// @param repeatability whether the request may be retried
    /// @param deadline when the caller stops waiting
    AttemptPolicy(Repeatability repeatability, TimePoint deadline);

    /// @param result how the attempt ended
    /// @param budget limits the retries that cause load on an upstream
    /// @param now the current time
    Decision onResult(const AttemptResult& result, RetryBudget& budget, TimePoint now);

    /// @param isUnderWay whether an attempt was sent and has not been answered
    /// @returns the outcome to report when the deadline expires
    Outcome onDeadline(bool isUnderWay) const;

    /// @returns whether an attempt may have been executed
    bool mayHaveRun() const { return this->hasUnknownAttempt; }

private:
    Decision onAnswered(const AttemptResult& result, RetryBudget& budget, TimePoint now);
    Decision onUnknownResult(const std::string& detail, RetryBudget& budget, TimePoint now);
    Decision retryOrAnswer(const Outcome& outcome, Duration delay, bool usesBudget, RetryBudget& budget, TimePoint now) const;
    Decision answer(Outcome outcome) const;

    Repeatability repeatability;
    TimePoint deadline;
    bool hasUnknownAttempt = false;
    int numAttempts = 0;
};

} // namespace lentiljunction
