#include "lentiljunction/routing/AttemptPolicy.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

AttemptResult generateResult()
{
    AttemptResult result;
    result.kind = *rc::gen::element(AttemptResult::Kind::Answered, AttemptResult::Kind::NotSent, AttemptResult::Kind::LinkLost);
    result.isInDoubt = *rc::gen::weightedElement<bool>({ { 4, false }, { 1, true } });
    switch (*rc::gen::inRange(0, 4)) {
    case 0:
        result.outcome = Outcome::completed({});
        break;
    case 1:
        result.outcome = Outcome::rejected("23505", "duplicate");
        break;
    case 2:
        result.outcome = Outcome::unknown("?");
        break;
    default:
        result.outcome = Outcome::notRun(*rc::gen::element(NotRunReason::NoPrimary, NotRunReason::QueueFull, NotRunReason::UpstreamUnavailable, NotRunReason::WrongGate, NotRunReason::KeyExpired), "");
    }
    return result;
}

bool mayHaveRun(const AttemptResult& result)
{
    bool isAnswered = result.kind == AttemptResult::Kind::Answered;
    return result.kind == AttemptResult::Kind::LinkLost || (isAnswered && (result.isInDoubt || result.outcome.kind == OutcomeKind::Unknown));
}

} // namespace

TEST_GROUP(AttemptPolicy) {};

TEST(AttemptPolicy, neverReportsNotRunAfterAttemptThatMayHaveRun)
{
    CHECK(rc::check("for any sequence of results", [] {
        ManualClock clock;
        RetryBudget budget(50);
        Repeatability repeatability = *rc::gen::element(Repeatability::Read, Repeatability::Keyed, Repeatability::Once);
        AttemptPolicy policy(repeatability, clock.now() + std::chrono::milliseconds(200));
        bool mayHaveRunEarlier = false;
        while (true) {
            AttemptResult result = generateResult();
            mayHaveRunEarlier = mayHaveRunEarlier || mayHaveRun(result);
            AttemptPolicy::Decision decision = policy.onResult(result, budget, clock.now());
            if (!decision.isRetry) {
                RC_ASSERT(!mayHaveRunEarlier || decision.outcome.kind != OutcomeKind::NotRun);
                RC_ASSERT(!mayHaveRunEarlier || decision.outcome.kind != OutcomeKind::Rejected);
                RC_ASSERT(mayHaveRunEarlier || decision.outcome.kind != OutcomeKind::Unknown);
                return;
            }
            RC_ASSERT(!(repeatability == Repeatability::Once && mayHaveRunEarlier));
            clock.advance(decision.delay + std::chrono::milliseconds(1));
            RC_ASSERT(policy.onDeadline(false).kind == (mayHaveRunEarlier ? OutcomeKind::Unknown : OutcomeKind::NotRun));
        }
    }));
}

TEST(AttemptPolicy, doesNotRetryWriteWithoutKeyThatMayHaveRun)
{
    ManualClock clock;
    RetryBudget budget(50);
    AttemptPolicy policy(Repeatability::Once, clock.now() + std::chrono::seconds(1));
    AttemptResult result;
    result.kind = AttemptResult::Kind::LinkLost;
    AttemptPolicy::Decision decision = policy.onResult(result, budget, clock.now());
    CHECK_FALSE(decision.isRetry);
    CHECK(decision.outcome.kind == OutcomeKind::Unknown);
}

TEST(AttemptPolicy, stopsCostlyRetriesWhenBudgetIsSpent)
{
    ManualClock clock;
    RetryBudget budget(0);
    int numRetries = 0;
    for (int count = 0; count < 1000; count++) {
        AttemptPolicy policy(Repeatability::Read, clock.now() + std::chrono::seconds(10));
        AttemptResult result;
        result.kind = AttemptResult::Kind::LinkLost;
        numRetries += policy.onResult(result, budget, clock.now()).isRetry ? 1 : 0;
    }
    CHECK(numRetries > 0);
    CHECK(numRetries <= 50);
}
