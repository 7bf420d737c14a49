#include "../support/LogCapture.h"
#include "../support/QueuedFleetStore.h"
#include "gateway/PromotionCalls.h"
#include "gateway/ReplaceableGroupLog.h"
#include "lentiljunction/core/LogEvents.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;
using namespace lentiljunction::tests;

namespace {

const GroupId group("g");

/// A platform whose promotion calls wait until the test ends them.
class PromotionStore : public QueuedFleetStore {
public:
    void promote(const GroupId&, const UpstreamId&, const InstanceId&, FencingToken, std::function<bool()> newMayBeSent, Callback<bool> newCallback) override
    {
        this->mayBeSent = std::move(newMayBeSent);
        this->callback = std::move(newCallback);
    }

    /// The call fails.
    void fail(Failure::Kind kind, const std::string& reason, bool isResponse)
    {
        Failure failure;
        failure.set(kind, reason);
        failure.isResponse = isResponse;
        this->callback(std::nullopt, failure);
    }

    std::function<bool()> mayBeSent;
    Callback<bool> callback;
};

PrimaryView makeView(const ManualClock& clock, const std::string& primary, std::uint64_t revision, std::vector<OpenPromotion> openPromotions)
{
    std::shared_ptr<PrimaryRecord> record = std::make_shared<PrimaryRecord>();
    PrimaryEntry& entry = record->groups[group];
    entry.primary = UpstreamId(primary);
    entry.generation = 2;
    entry.openPromotions = std::move(openPromotions);
    return { { record, StoreVersion(revision) }, clock.bootNow() };
}

} // namespace

TEST_GROUP(PromotionCalls)
{
    ManualClock clock;
    PromotionStore store;
    LogCapture log;
    PromotionCalls calls { store, clock, InstanceId("a") };
    bool mayBeSent = true;

    void send(const std::string& upstream, std::uint64_t run)
    {
        calls.send(
            { group, UpstreamId(upstream), FencingToken(4), 1, run }, [this] { return mayBeSent; }, [](bool, const Failure&) {});
    }
};

// Guards against a call in doubt that no line shows: its sent line has no outcome line, or one without a response.
TEST(PromotionCalls, callAndOutcomeAreLoggedWithTheSameIdentification)
{
    send("u1", 7);
    CHECK_TRUE(log.list("promotion_call_sent").empty());
    CHECK_TRUE(store.mayBeSent());
    const std::string identification = "group=g upstream=u1 epoch=4 generation=1 run=7 attempt=1";
    CHECK_EQUAL(1, log.list("promotion_call_sent").size());
    STRCMP_CONTAINS(identification.c_str(), log.list("promotion_call_sent")[0].c_str());
    CHECK_TRUE(log.list("promotion_call_ended").empty());
    clock.advance(std::chrono::milliseconds(300));
    store.fail(Failure::Kind::InDoubt, "no answer in time", false);
    CHECK_EQUAL(1, log.list("promotion_call_ended").size());
    STRCMP_CONTAINS((identification + " outcome=no_response took_ms=300 reason=\"no answer in time\"").c_str(), log.list("promotion_call_ended")[0].c_str());
}

// Guards against a refusal after calls in doubt that looks like the only call of the failover.
TEST(PromotionCalls, attemptsForOneUpstreamAreCountedWithinOneFailover)
{
    send("u1", 7);
    store.mayBeSent();
    store.fail(Failure::Kind::InDoubt, "no answer in time", false);
    send("u1", 7);
    store.mayBeSent();
    store.fail(Failure::Kind::Conflict, "POST /promotion failed with HTTP status 409 not running", true);
    send("u3", 7);
    store.mayBeSent();
    store.callback(true, Failure());
    CHECK_TRUE(calls.hasSent(group, 7, UpstreamId("u1")));
    send("u1", 8);
    store.mayBeSent();
    std::vector<std::string> ended = log.list("promotion_call_ended");
    CHECK_EQUAL(3, ended.size());
    STRCMP_CONTAINS("upstream=u1 epoch=4 generation=1 run=7 attempt=2 outcome=refused took_ms=0 reason=\"POST /promotion failed with HTTP status 409 not running\"", ended[1].c_str());
    STRCMP_CONTAINS("upstream=u3 epoch=4 generation=1 run=7 attempt=1 outcome=accepted took_ms=0", ended[2].c_str());
    STRCMP_CONTAINS("run=8 attempt=1", log.list("promotion_call_sent")[3].c_str());
    CHECK_FALSE(calls.hasSent(group, 7, UpstreamId("u1")));
}

// Guards against a call that passes for one in doubt although it never left the instance.
TEST(PromotionCalls, callThatMayNotBeSentEndsAsNotSent)
{
    mayBeSent = false;
    send("u1", 7);
    CHECK_FALSE(store.mayBeSent());
    store.fail(Failure::Kind::Unavailable, "the request may not be sent any more", false);
    CHECK_TRUE(log.list("promotion_call_sent").empty());
    STRCMP_CONTAINS("attempt=1 outcome=not_sent", log.list("promotion_call_ended")[0].c_str());
    CHECK_FALSE(calls.hasSent(group, 7, UpstreamId("u1")));
    mayBeSent = true;
    send("u1", 7);
    store.mayBeSent();
    store.fail(Failure::Kind::Unavailable, "POST /promotion failed with HTTP status 503", true);
    STRCMP_CONTAINS("attempt=1 outcome=other_response", log.list("promotion_call_ended")[1].c_str());
    CHECK_EQUAL(1, calls.getNumEnded().at("not_sent"));
    CHECK_EQUAL(1, calls.getNumEnded().at("other_response"));
}

TEST_GROUP(ReplaceableGroupLog)
{
    ManualClock clock;
    LogCapture log;
    ReplaceableGroupLog groups;
};

// Guards against acknowledgements whose cost, or whose lack of a lease, no line explains.
TEST(ReplaceableGroupLog, beginAndEndAreLoggedOnce)
{
    for (int renewal = 0; renewal < 3; renewal++)
        groups.onView(makeView(clock, "u3", 9, { { UpstreamId("u1"), FencingToken(4), 1 } }));
    CHECK_EQUAL(1, log.list("primary_replaceable").size());
    STRCMP_CONTAINS("group=g primary=u3 generation=2 lead_revision=9 calls=u1/4/1", log.list("primary_replaceable")[0].c_str());
    CHECK_TRUE(log.list("primary_settled").empty());
    for (int renewal = 0; renewal < 3; renewal++)
        groups.onView(makeView(clock, "u3", 10, {}));
    CHECK_EQUAL(1, log.list("primary_replaceable").size());
    CHECK_EQUAL(1, log.list("primary_settled").size());
}

TEST_GROUP(LinePriority) {};

// Guards against acknowledged writes that are missing from the log because reads used up its limit.
TEST(LinePriority, commonLinesLeaveHalfOfTheLimitToOthers)
{
    constexpr LogEvent event { 9000, LogLevel::Information, "limited", "An event of this test." };
    LogCapture log;
    for (int line = 0; line < 200; line++)
        logEvent(event, "kind=common", LinePriority::Low);
    std::size_t numCommon = log.list("limited").size();
    for (int line = 0; line < 20; line++)
        logEvent(event, "kind=write");
    CHECK(numCommon < 200);
    CHECK_EQUAL(numCommon + 20, log.list("limited").size());
}
