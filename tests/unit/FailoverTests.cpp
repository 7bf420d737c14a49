#include "lentiljunction/failover/GroupMonitor.h"
#include "lentiljunction/failover/Promotion.h"
#include "lentiljunction/failover/TermReserve.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

constexpr Duration step = std::chrono::milliseconds(10);
constexpr Duration promotionTimeout = std::chrono::seconds(5);

DatabaseConfig makeGroup()
{
    DatabaseConfig database;
    database.id = DatabaseId("db-a");
    for (const char* name : { "u1", "u2", "u3" })
        database.upstreams.push_back({ UpstreamId(name), ZoneId(name), "127.0.0.1", 1 });
    return database;
}

UpstreamStatus makeStatus(bool isPrimary, std::uint64_t fenced, std::uint64_t position)
{
    UpstreamStatus status;
    status.isPrimary = isPrimary;
    status.fencedTerm = Term(fenced);
    status.head = { Term(1), Position(position) };
    status.history.append({ Term(1), Position(1) });
    return status;
}

/// Drives a monitor with the probe answers and opinions that the test sets.
class MonitorFixture {
public:
    explicit MonitorFixture(const char* ownUpstream, std::uint64_t seed = 1)
        : monitor(makeGroup(), UpstreamId(ownUpstream), seed)
    {
        this->answers[UpstreamId("u1")] = makeStatus(true, 1, 10);
        this->answers[UpstreamId("u2")] = makeStatus(false, 1, 10);
        this->answers[UpstreamId("u3")] = makeStatus(false, 1, 10);
    }

    /// Delivers a probe result of each upstream, then executes the monitor's next action.
    GroupMonitor::Action tick()
    {
        this->clock.advance(step);
        for (const std::pair<const UpstreamId, std::optional<UpstreamStatus>>& answer : this->answers) {
            if (answer.second)
                this->monitor.onStatus(answer.first, *answer.second, this->clock.now());
            else
                this->monitor.onProbeFailed(answer.first, this->clock.now());
        }
        GroupMonitor::Action action = this->monitor.getNextAction(this->clock.now());
        if (action != GroupMonitor::Action::RequestReachabilityReports)
            return action;

        this->numRequested++;
        this->monitor.onReachabilityRequested(this->opinions.size(), this->clock.now());
        for (const std::optional<bool>& opinion : this->opinions) {
            if (opinion)
                this->monitor.onReachabilityReport(*opinion);
        }
        return action;
    }

    /// @returns the time until the monitor requests a promotion, or nothing after promotionTimeout
    std::optional<Duration> waitForPromotion()
    {
        TimePoint begin = this->clock.now();
        while (this->clock.now() < begin + promotionTimeout) {
            if (this->tick() == GroupMonitor::Action::Promote)
                return std::chrono::duration_cast<Duration>(this->clock.now() - begin);
        }
        return std::nullopt;
    }

    ManualClock clock;
    GroupMonitor monitor;
    /// The answers to probes; nullopt is a failed probe.
    std::map<UpstreamId, std::optional<UpstreamStatus>> answers;
    /// Whether the other gates reach the primary; nullopt is a gate that does not answer.
    std::vector<std::optional<bool>> opinions { false, false };
    int numRequested = 0;
};

} // namespace

TEST_GROUP(GroupMonitor) {};

TEST(GroupMonitor, doesNotPromoteInHealthyGroup)
{
    MonitorFixture fixture("u2");
    CHECK_FALSE(fixture.waitForPromotion().has_value());
}

TEST(GroupMonitor, replacesFailedPrimaryWithinOneSecond)
{
    MonitorFixture fixture("u2");
    fixture.tick();
    fixture.answers[UpstreamId("u1")] = std::nullopt;
    std::optional<Duration> delay = fixture.waitForPromotion();
    CHECK(delay.has_value());
    CHECK(*delay < std::chrono::seconds(1));
}

TEST(GroupMonitor, doesNotPromoteWhenOtherGatesReachPrimary)
{
    MonitorFixture fixture("u2");
    fixture.tick();
    fixture.answers[UpstreamId("u1")] = std::nullopt;
    fixture.opinions = { true, true };
    CHECK_FALSE(fixture.waitForPromotion().has_value());
    CHECK(fixture.numRequested > 1);
}

TEST(GroupMonitor, promotesWhenOneOtherGateAgrees)
{
    MonitorFixture fixture("u2");
    fixture.tick();
    fixture.answers[UpstreamId("u1")] = std::nullopt;
    fixture.opinions = { true, false };
    CHECK(fixture.waitForPromotion().has_value());
}

TEST(GroupMonitor, countsUnresponsiveGatesAsAgreeing)
{
    MonitorFixture fixture("u2");
    fixture.tick();
    fixture.answers[UpstreamId("u1")] = std::nullopt;
    fixture.opinions = { std::nullopt, std::nullopt };
    CHECK(fixture.waitForPromotion().has_value());
}

TEST(GroupMonitor, doesNotPromoteWithoutReachableMajority)
{
    MonitorFixture fixture("u2");
    fixture.tick();
    fixture.answers[UpstreamId("u1")] = std::nullopt;
    fixture.answers[UpstreamId("u3")] = std::nullopt;
    fixture.opinions = { std::nullopt, std::nullopt };
    CHECK_FALSE(fixture.waitForPromotion().has_value());
}

TEST(GroupMonitor, promotesFirstAtGateWithHighestLogHead)
{
    for (std::uint64_t seed = 1; seed <= 50; seed++) {
        MonitorFixture ahead("u3", seed);
        MonitorFixture behind("u2", seed + 1000);
        for (MonitorFixture* fixture : { &ahead, &behind }) {
            fixture->answers[UpstreamId("u3")] = makeStatus(false, 1, 12);
            fixture->tick();
            fixture->answers[UpstreamId("u1")] = std::nullopt;
        }
        CHECK(*ahead.waitForPromotion() < *behind.waitForPromotion());
    }
}

TEST(GroupMonitor, replacesLeavingPrimary)
{
    MonitorFixture fixture("u2");
    fixture.tick();
    fixture.answers[UpstreamId("u1")]->isLeaving = true;
    CHECK(fixture.waitForPromotion().has_value());
}

TEST(GroupMonitor, promotesWhenAbandonedPromotionLeftUpstreamFenced)
{
    MonitorFixture fixture("u2");
    fixture.tick();
    fixture.answers[UpstreamId("u3")] = makeStatus(false, 9, 10);
    CHECK(fixture.waitForPromotion().has_value());
}

TEST(GroupMonitor, defersToOtherGateThatFences)
{
    MonitorFixture fixture("u2");
    fixture.tick();
    fixture.answers[UpstreamId("u1")] = std::nullopt;
    while (fixture.numRequested == 0)
        fixture.tick();
    fixture.answers[UpstreamId("u3")] = makeStatus(false, 9, 10);
    TimePoint begin = fixture.clock.now();
    CHECK(fixture.waitForPromotion().has_value());
    CHECK(fixture.clock.now() - begin >= std::chrono::milliseconds(400));
}

TEST_GROUP(Promotion) {};

TEST(Promotion, promotesHighestLogHeadOfFencedMajority)
{
    CHECK(rc::check("for any pair of log heads", [] {
        TimePoint now(std::chrono::hours(1));
        std::vector<UpstreamId> ids { UpstreamId("u1"), UpstreamId("u2"), UpstreamId("u3") };
        Promotion promotion(Term(9), ids, {}, 2, now);
        RC_ASSERT(promotion.takeCommands().size() == 3);

        std::vector<LogPoint> heads;
        for (std::size_t index = 0; index < 2; index++) {
            UpstreamStatus status = makeStatus(false, 9, static_cast<std::uint64_t>(*rc::gen::inRange(1, 5)));
            status.head.term = Term(static_cast<std::uint64_t>(*rc::gen::inRange(1, 4)));
            heads.push_back(status.head);
            promotion.onAnswer(ids[index], Promotion::Operation::Fence, status, now);
        }
        promotion.onTick(now + std::chrono::milliseconds(50));
        RC_ASSERT(promotion.getState() == Promotion::State::Promoting);
        std::size_t chosen = promotion.getTarget() == ids[0] ? 0 : 1;
        RC_ASSERT(!(heads[chosen] < heads[1 - chosen]));
    }));
}

TEST(Promotion, retriesLostAnswerAtSameUpstreamOnly)
{
    TimePoint now(std::chrono::hours(1));
    std::vector<UpstreamId> ids { UpstreamId("u1"), UpstreamId("u2"), UpstreamId("u3") };
    Promotion promotion(Term(9), ids, {}, 2, now);
    promotion.takeCommands();
    for (const UpstreamId& id : ids)
        promotion.onAnswer(id, Promotion::Operation::Fence, makeStatus(false, 9, 10), now);
    UpstreamId target = promotion.takeCommands().front().upstream;

    for (int count = 0; count < 5; count++) {
        promotion.onNoAnswer(target, Promotion::Operation::Promote, now);
        std::vector<Promotion::Command> commands = promotion.takeCommands();
        CHECK_EQUAL(1, commands.size());
        CHECK(commands.front().upstream == target);
    }
    UpstreamStatus done = makeStatus(true, 9, 11);
    done.head.term = Term(9);
    promotion.onAnswer(target, Promotion::Operation::Promote, done, now);
    CHECK(promotion.getState() == Promotion::State::Done);
}

TEST(Promotion, failsWhenUpstreamIsFencedAtHigherTerm)
{
    TimePoint now(std::chrono::hours(1));
    Promotion promotion(Term(9), { UpstreamId("u1"), UpstreamId("u2"), UpstreamId("u3") }, {}, 2, now);
    promotion.onAnswer(UpstreamId("u1"), Promotion::Operation::Fence, makeStatus(false, 10, 10), now);
    CHECK(promotion.getState() == Promotion::State::Failed);
    CHECK(promotion.takeCommands().empty());
}

TEST(Promotion, failsWithoutMajority)
{
    TimePoint now(std::chrono::hours(1));
    Promotion promotion(Term(9), { UpstreamId("u1"), UpstreamId("u2"), UpstreamId("u3") }, {}, 2, now);
    promotion.onAnswer(UpstreamId("u1"), Promotion::Operation::Fence, makeStatus(false, 9, 10), now);
    promotion.onTick(now + std::chrono::seconds(2));
    CHECK(promotion.getState() == Promotion::State::Failed);
}

TEST(Promotion, doesNotPromoteLeavingUpstream)
{
    TimePoint now(std::chrono::hours(1));
    std::vector<UpstreamId> ids { UpstreamId("u1"), UpstreamId("u2"), UpstreamId("u3") };
    Promotion promotion(Term(9), ids, { UpstreamId("u1") }, 2, now);
    for (const UpstreamId& id : ids)
        promotion.onAnswer(id, Promotion::Operation::Fence, makeStatus(false, 9, 10), now);
    CHECK(promotion.getTarget() != UpstreamId("u1"));
}

TEST_GROUP(TermReserve) {};

TEST(TermReserve, neverHandsOutTermTwice)
{
    CHECK(rc::check("for any sequence of requests by three gates, with lost answers and conflicts", [] {
        TermRecord stored;
        std::uint64_t version = 0;
        std::vector<TermReserve> gates(3);
        std::set<Term> used;
        for (int count = 0; count < 40; count++) {
            std::size_t gate = static_cast<std::size_t>(*rc::gen::inRange(0, 3));
            Term above(static_cast<std::uint64_t>(*rc::gen::inRange(0, 60)));
            bool isTake = *rc::gen::inRange(0, 2) == 0;
            if (isTake) {
                std::optional<Term> term = gates[gate].take(above);
                RC_ASSERT(!term || (*term > above && used.insert(*term).second));
                continue;
            }

            std::string nonce = std::to_string(gate) + "/" + std::to_string(count);
            TermRecord read = stored;
            std::uint64_t readVersion = version;
            bool isOvertaken = *rc::gen::inRange(0, 4) == 0;
            if (isOvertaken) {
                stored.grant("other/" + nonce, above);
                version++;
            }
            TermRecord::Grant grant = read.grant(nonce, above);
            if (version != readVersion)
                continue;
            stored = read;
            version++;
            bool isAnswerLost = *rc::gen::inRange(0, 3) == 0;
            std::optional<TermRecord> again = parseTermRecord(toJson(stored));
            RC_ASSERT(again.has_value());
            if (isAnswerLost)
                grant = *again->find(nonce);
            gates[gate].add(grant.first, grant.last);
        }
    }));
}

TEST(TermReserve, rejectsMalformedRecord)
{
    CHECK_FALSE(parseTermRecord(nlohmann::json::parse("{\"next_term\":0,\"grants\":[]}")).has_value());
    CHECK_FALSE(parseTermRecord(nlohmann::json::parse("{\"next_term\":5}")).has_value());
    CHECK_FALSE(parseTermRecord(nlohmann::json::parse("[]")).has_value());
}
