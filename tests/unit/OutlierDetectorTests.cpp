#include "../support/LendingBench.h"
#include "lentiljunction/core/Random.h"
#include "lentiljunction/upstreamhealth/lj_upstreamhealth.h"
#include "traffic/ReadPlanner.h"
#include "traffic/UpstreamHealth.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

const std::vector<UpstreamId> group { UpstreamId("a"), UpstreamId("b"), UpstreamId("c") };

} // namespace

TEST_GROUP(OutlierDetector)
{
    ManualClock clock;
    OutlierDetector detector { clock };
    Random random { 7 };

    OutlierDetector::Change report(const UpstreamId& upstream, UpstreamResult result, Duration latency = std::chrono::milliseconds(8))
    {
        TimePoint startedAt = clock.now();
        clock.advance(latency);
        return detector.onResult({ upstream, result, startedAt }, group);
    }

    OutlierDetector::Change repeat(int times, const UpstreamId& upstream, UpstreamResult result, Duration latency = std::chrono::milliseconds(8))
    {
        OutlierDetector::Change last = OutlierDetector::Change::None;
        for (int index = 0; index < times && last == OutlierDetector::Change::None; index++)
            last = report(upstream, result, latency);
        return last;
    }

    /// Runs reads for a while, each on the first member of the group that is not avoided.
    ///
    /// @returns how many of them the first member got
    int runReads(std::chrono::seconds span, int failurePercent)
    {
        int numAtFirst = 0;
        TimePoint end = clock.now() + span;
        while (clock.now() < end) {
            clock.advance(std::chrono::milliseconds(100));
            const UpstreamId& chosen = detector.isAvoided(group[0]) ? group[1] : group[0];
            numAtFirst += chosen == group[0] ? 1 : 0;
            bool isFailure = chosen == group[0] && static_cast<int>(random.below(100)) < failurePercent;
            detector.onStarted(chosen);
            report(chosen, isFailure ? UpstreamResult::NoAnswer : UpstreamResult::Success);
        }
        return numAtFirst;
    }
};

// Guards against a failing upstream that keeps its reads because its health check is good.
TEST(OutlierDetector, ejectsPartiallyFailingUpstreamForEachKindOfFailure)
{
    for (UpstreamResult result : { UpstreamResult::Error, UpstreamResult::NoAnswer, UpstreamResult::Reset, UpstreamResult::NotOpened }) {
        OutlierDetector::Change last = OutlierDetector::Change::None;
        UpstreamId upstream(toString(result));
        for (int index = 0; index < 9 && last == OutlierDetector::Change::None; index++)
            last = report(upstream, index % 3 == 0 ? result : UpstreamResult::Success);
        CHECK(last == OutlierDetector::Change::Ejected);
        CHECK(detector.isAvoided(upstream));
    }
}

// Guards against an ejection for few failures, among many successes or spread over a long time.
TEST(OutlierDetector, toleratesRareFailures)
{
    for (int index = 0; index < 300; index++) {
        CHECK(report(group[0], index % 10 == 0 ? UpstreamResult::Error : UpstreamResult::Success) == OutlierDetector::Change::None);
        CHECK(report(group[1], UpstreamResult::Reset) != OutlierDetector::Change::Ejected);
        clock.advance(std::chrono::milliseconds(1200));
    }
}

// Guards against the ejection of a group because of statements that fail everywhere.
TEST(OutlierDetector, toleratesFailuresThatAllMembersShare)
{
    for (int index = 0; index < 60; index++) {
        for (const UpstreamId& member : group)
            CHECK(report(member, index % 3 == 2 ? UpstreamResult::Error : UpstreamResult::Success) == OutlierDetector::Change::None);
    }
}

// Guards against a group without any member.
TEST(OutlierDetector, neverEjectsLastMember)
{
    CHECK(repeat(10, group[0], UpstreamResult::Reset) == OutlierDetector::Change::Ejected);
    CHECK(repeat(10, group[1], UpstreamResult::Reset) == OutlierDetector::Change::Ejected);
    CHECK(repeat(50, group[2], UpstreamResult::Reset) == OutlierDetector::Change::None);
    CHECK_FALSE(detector.isAvoided(group[2]));
}

// Guards against the ejection of an upstream that is only full: behind a full queue all statements are slow.
TEST(OutlierDetector, tellsSheddingFromFullQueue)
{
    for (int index = 0; index < 40; index++) {
        report(group[0], UpstreamResult::Success, std::chrono::milliseconds(90));
        CHECK(report(group[0], UpstreamResult::Shed, std::chrono::milliseconds(1)) == OutlierDetector::Change::None);
    }
    OutlierDetector::Change last = OutlierDetector::Change::None;
    for (int index = 0; index < 10 && last == OutlierDetector::Change::None; index++)
        last = report(group[1], index % 2 == 0 ? UpstreamResult::Success : UpstreamResult::Shed, std::chrono::milliseconds(8));
    CHECK(last == OutlierDetector::Change::Ejected);
}

// Guards against an upstream that stays ejected after it recovered, and against many statements for its probes.
TEST(OutlierDetector, probesWithSingleStatementsAndRestores)
{
    repeat(10, group[0], UpstreamResult::Reset);
    clock.advance(std::chrono::milliseconds(600));
    CHECK_FALSE(detector.isAvoided(group[0]));
    detector.onStarted(group[0]);
    CHECK(detector.isAvoided(group[0]));
    // A lost probe blocks the next one for a second only.
    clock.advance(std::chrono::milliseconds(1001));
    CHECK_FALSE(detector.isAvoided(group[0]));
    CHECK(repeat(5, group[0], UpstreamResult::Success) == OutlierDetector::Change::Restored);
    CHECK_FALSE(detector.isEjected(group[0]));
}

// Guards against probes that cost a failing or flapping upstream's callers many statements, and against starvation.
TEST(OutlierDetector, sendsLittleToFailingUpstreamAndAllToRecoveredOne)
{
    // Ten reads per second for 30 s; without ejection the first member gets all 300.
    CHECK(runReads(std::chrono::seconds(30), 50) < 75);
    runReads(std::chrono::seconds(5), 0);
    CHECK(runReads(std::chrono::seconds(10), 0) >= 85);
}

// Guards against results of statements from before the ejection, which would end or prolong it.
TEST(OutlierDetector, ignoresResultsOfEarlierStatements)
{
    TimePoint before = clock.now();
    repeat(10, group[0], UpstreamResult::Reset);
    clock.advance(std::chrono::milliseconds(600));
    for (int index = 0; index < 10; index++)
        CHECK(detector.onResult({ group[0], UpstreamResult::Success, before }, group) == OutlierDetector::Change::None);
    CHECK(detector.isEjected(group[0]));
}

// Guards against a pause of this instance that looks like upstreams which do not answer.
TEST(OutlierDetector, ignoresResultsThatContainPauseOfInstance)
{
    UpstreamHealth health(clock);
    health.enable();
    health.onTick();
    TimePoint before = clock.now();
    clock.advance(std::chrono::milliseconds(800));
    for (int index = 0; index < 10; index++)
        health.onResult({ group[0], UpstreamResult::NoAnswer, before }, group);
    health.onTick();
    for (int index = 0; index < 10; index++)
        health.onResult({ group[0], UpstreamResult::NoAnswer, before }, group);
    CHECK_FALSE(health.isEjected(group[0]));
    for (int index = 0; index < 10; index++)
        health.onResult({ group[0], UpstreamResult::NoAnswer, clock.now() }, group);
    CHECK(health.isEjected(group[0]));
}

// Guards against an effect in deployments that do not enable the detector.
TEST(OutlierDetector, doesNothingUnlessEnabled)
{
    UpstreamHealth health(clock);
    for (int index = 0; index < 50; index++)
        health.onResult({ group[0], UpstreamResult::Reset, clock.now() }, group);
    CHECK_FALSE(health.isEjected(group[0]));
}

// Guards against a read that fails because the only member left is to be avoided.
TEST(OutlierDetector, avoidedUpstreamIsLastChoice)
{
    ReadCandidate fast { UpstreamId("fast"), true, false, true, std::chrono::milliseconds(5), 0, std::nullopt, Duration(0) };
    ReadCandidate slow { UpstreamId("slow"), false, true, false, std::chrono::milliseconds(90), 3, std::nullopt, Duration(0) };
    fast.isAvoided = true;
    CHECK(chooseReadTarget({ fast, slow }, std::nullopt) == slow.upstream);
    CHECK(chooseReadTarget({ fast }, std::nullopt) == fast.upstream);
    // A replica that is slower than the others would otherwise never be probed.
    slow.isPrimary = false;
    slow.isProbeDue = true;
    fast.isAvoided = false;
    CHECK(chooseReadTarget({ fast, slow }, std::nullopt) == slow.upstream);
}

namespace {

/// An instance with one upstream that it avoids, and its messages to borrowers.
class AvoidingLender : public Lender::Transport, public Lender::SourceFinder {
public:
    std::shared_ptr<ConnectionSource> findOwnSource(const UpstreamId&) override { return this->source; }
    Duration getAvoidedFor(const UpstreamId&) const override { return std::chrono::milliseconds(700); }
    void onLentResult(const OutlierDetector::Sample& sample) override { this->results.push_back(sample.result); }
    void sendToBorrower(Lender::LinkId, const LendingMessage& message) override { this->sent.push_back(*decodeLendingMessage(encodeLendingMessage(message))); }

    void borrow(std::uint64_t loan, bool mayDecline)
    {
        LendingMessage message;
        message.kind = LendingMessage::Kind::Borrow;
        message.loan = loan;
        message.wait = std::chrono::milliseconds(100);
        message.mode = AccessMode::Read;
        message.mayDecline = mayDecline;
        this->lender.onMessage(1, *decodeLendingMessage(encodeLendingMessage(message)));
        this->scheduler.advance(std::chrono::milliseconds(50));
    }

    ManualClock clock;
    ManualScheduler scheduler { clock };
    std::shared_ptr<tests::FakeSource> source = std::make_shared<tests::FakeSource>(clock, scheduler, UpstreamEntry());
    Lender lender { clock, *this, *this };
    std::vector<LendingMessage> sent;
    std::vector<UpstreamResult> results;
};

} // namespace

// Guards against a lender that refuses work only the ejected upstream can do, and against hanging statements on lent
// connections that nobody records.
TEST(OutlierDetector, lenderDeclinesOnlyWhatOthersCanServe)
{
    AvoidingLender instance;
    instance.borrow(1, true);
    CHECK(instance.sent.back().denial == LendingMessage::Denial::Avoided && instance.sent.back().retryAfter == std::chrono::milliseconds(700));
    instance.borrow(2, false);
    CHECK(instance.sent.back().kind == LendingMessage::Kind::Granted);
    LendingMessage message;
    message.kind = LendingMessage::Kind::Command;
    message.loan = 2;
    instance.lender.onMessage(1, message);
    instance.clock.advance(std::chrono::milliseconds(200));
    message.kind = LendingMessage::Kind::Drop;
    instance.lender.onMessage(1, message);
    CHECK(instance.results == std::vector<UpstreamResult> { UpstreamResult::NoAnswer });
}
