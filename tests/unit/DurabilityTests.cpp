#include "../support/GroupModel.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;
using namespace lentiljunction::tests;

namespace {

constexpr std::uint64_t numSeeds = 3000;
constexpr int stepsPerSeed = 1500;

UpstreamStatus makeStatus(const std::string& history, std::uint64_t fenced, std::uint64_t headTerm, std::uint64_t head)
{
    UpstreamStatus status;
    status.history = *TermHistory::parse(history);
    status.fencedTerm = Term(fenced);
    status.head = { Term(headTerm), Position(head) };
    return status;
}

} // namespace

TEST_GROUP(Durability) {};

TEST(Durability, keepsConfirmedWritesForAnyOrderOfEvents)
{
    std::size_t numConfirmed = 0;
    std::size_t numPromotions = 0;
    for (std::uint64_t seed = 1; seed <= numSeeds; seed++) {
        GroupModel model(seed, Durability::Replicated);
        model.run(stepsPerSeed);
        std::optional<std::string> violation = model.findViolation();
        if (violation)
            FAIL(("seed " + std::to_string(seed) + ": " + *violation).c_str());
        numConfirmed += model.getNumConfirmed();
        numPromotions += model.getNumPromotions();
    }
    // Without enough confirmed writes and promotions, the test would prove little.
    CHECK(numConfirmed > numSeeds);
    CHECK(numPromotions > numSeeds / 2);
}

TEST(Durability, doesNotConfirmInheritedEntryByPositionAlone)
{
    // A majority has the entry of term 1, but not yet an entry of term 3, so the write may still be lost.
    ConfirmationTracker tracker(2, Durability::Replicated);
    TimePoint now;
    LogPoint point { Term(1), Position(5) };
    tracker.add({ 1, point, now, now + std::chrono::seconds(1) });
    tracker.onStatus(UpstreamId("a"), makeStatus("1:1", 3, 1, 5), now);
    tracker.onStatus(UpstreamId("b"), makeStatus("1:1,3:6", 3, 3, 6), now);
    CHECK(tracker.takeResolved(now).empty());
    tracker.onStatus(UpstreamId("c"), makeStatus("1:1", 3, 1, 5), now);
    CHECK(tracker.takeResolved(now).empty());

    tracker.onStatus(UpstreamId("a"), makeStatus("1:1,3:6", 3, 3, 6), now);
    std::vector<ConfirmationTracker::Resolution> resolved = tracker.takeResolved(now);
    CHECK_EQUAL(1, resolved.size());
    CHECK(resolved.front().verdict == ConfirmationTracker::Verdict::Confirmed);
}

TEST(Durability, reportsWriteLostWhenMajorityDiverged)
{
    ConfirmationTracker tracker(2, Durability::Replicated);
    TimePoint now;
    tracker.add({ 1, { Term(1), Position(9) }, now, now + std::chrono::seconds(1) });
    tracker.onStatus(UpstreamId("a"), makeStatus("1:1,2:6", 2, 2, 6), now);
    tracker.onStatus(UpstreamId("b"), makeStatus("1:1,2:6", 2, 2, 8), now);
    CHECK(tracker.takeResolved(now).front().verdict == ConfirmationTracker::Verdict::Lost);
}

TEST(Durability, requiresMajorityFencedAfterCommitForPrimaryDurability)
{
    ConfirmationTracker tracker(2, Durability::Primary);
    TimePoint now(std::chrono::hours(1));
    tracker.onStatus(UpstreamId("b"), makeStatus("1:1", 1, 1, 3), now - std::chrono::milliseconds(1));
    tracker.add({ 1, { Term(1), Position(9) }, now, now + std::chrono::seconds(1) });
    tracker.onStatus(UpstreamId("a"), makeStatus("1:1", 1, 1, 9), now);
    CHECK(tracker.takeResolved(now).empty());

    tracker.onStatus(UpstreamId("b"), makeStatus("1:1", 1, 1, 3), now + std::chrono::milliseconds(1));
    CHECK(tracker.takeResolved(now).front().verdict == ConfirmationTracker::Verdict::Confirmed);
}

TEST(Durability, expiresUnconfirmedWriteAtDeadline)
{
    ConfirmationTracker tracker(2, Durability::Replicated);
    TimePoint now;
    tracker.add({ 7, { Term(1), Position(9) }, now, now + std::chrono::seconds(1) });
    CHECK(tracker.takeResolved(now).empty());
    CHECK(tracker.takeResolved(now + std::chrono::seconds(1)).front().verdict == ConfirmationTracker::Verdict::Expired);
}
