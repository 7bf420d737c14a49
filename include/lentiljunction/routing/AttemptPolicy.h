#pragma once

#include "lentiljunction/admission/RetryBudget.h"
#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Outcome.h"

namespace lentiljunction {

/// How often a request may safely be sent.
enum class Repeatability {
    /// Reads have no effect and may be sent again at any time.
    Read,
    /// A write with an idempotency key may be sent again; the database runs it once.
    Keyed,
    /// A write without a key is not sent again once a byte of it may have reached an upstream.
    Once,
};

/// What became of one attempt.
struct AttemptResult {
    /// How the attempt ended.
    enum class Kind {
        /// A gate answered.
        Answered,
        /// The request certainly never left this instance.
        NotSent,
        /// The link broke, or was given up, after the request was sent.
        LinkLost,
    };

    Kind kind = Kind::Answered;
    /// For Answered.
    Outcome outcome;
    /// For Answered: whether a commit was sent whose fate is not known.
    bool isInDoubt = false;
};

/// Decides after each attempt of one request whether to answer the caller or to try again.
///
/// Remembers whether any attempt may have run. From then on the request is never answered NotRun.
///
/// Not thread-safe; one per request.
///
/// @code
/// AttemptPolicy policy(Repeatability::Keyed, deadline);
/// AttemptPolicy::Decision decision = policy.onResult(result, budget, clock.now());
/// @endcode
class AttemptPolicy {
public:
    /// What to do next.
    struct Decision {
        bool isRetry = false;
        /// For a retry: how long to wait first.
        Duration delay { 0 };
        /// For an answer.
        Outcome outcome;
    };

    /// @param repeatability how often the request may be sent
    /// @param deadline when the caller stops waiting
    AttemptPolicy(Repeatability repeatability, TimePoint deadline);

    /// @param result how the attempt ended
    /// @param budget pays for retries that cost an upstream work
    /// @param now the current time
    Decision onResult(const AttemptResult& result, RetryBudget& budget, TimePoint now);

    /// @param isUnderWay whether an attempt was sent and not answered
    /// @returns the answer when the deadline passes
    Outcome onDeadline(bool isUnderWay) const;

    /// @returns whether an attempt may have run
    bool mayHaveRun() const { return this->hasUnclearAttempt; }

private:
    Decision onAnswered(const AttemptResult& result, RetryBudget& budget, TimePoint now);
    Decision onUnclear(const std::string& detail, RetryBudget& budget, TimePoint now);
    Decision retryOr(const Outcome& outcome, Duration delay, bool isPaid, RetryBudget& budget, TimePoint now) const;
    Decision answer(Outcome outcome) const;

    Repeatability repeatability;
    TimePoint deadline;
    bool hasUnclearAttempt = false;
    int numTries = 0;
};

} // namespace lentiljunction
