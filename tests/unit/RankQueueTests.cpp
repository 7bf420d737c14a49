#include "lentiljunction/admission/ConcurrencyLimit.h"
#include "lentiljunction/admission/LoadShedder.h"
#include "lentiljunction/admission/RankQueue.h"

#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <list>
#include <map>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

constexpr Duration distantDeadline = std::chrono::hours(1);

std::array<RankConfig, numRanks> makeRanks()
{
    std::array<RankConfig, numRanks> ranks;
    ranks[toIndex(Rank::Urgent)] = { std::chrono::hours(1), 0 };
    ranks[toIndex(Rank::Normal)] = { std::chrono::hours(1), 10 };
    ranks[toIndex(Rank::Background)] = { std::chrono::hours(1), 5 };
    return ranks;
}

RankQueue::Request makeRequest(RankQueue::Ticket ticket, Rank rank, TimePoint now, const std::string& caller = "c")
{
    return { ticket, rank, CallerId(caller), now + distantDeadline };
}

} // namespace

TEST_GROUP(RankQueue)
{
    ManualClock clock;
    RankQueue queue { makeRanks() };
};

TEST(RankQueue, returnsEachRequestExactlyOnce)
{
    CHECK(rc::check("each request is started, expired, removed or refused exactly once", [] {
        ManualClock clock;
        RankQueue queue(makeRanks());
        std::set<RankQueue::Ticket> waiting;
        RankQueue::Ticket next = 1;
        for (int count = 0; count < 100; count++) {
            int choice = *rc::gen::inRange(0, 6);
            if (choice < 3) {
                Rank rank = allRanks[static_cast<std::size_t>(*rc::gen::inRange(0, 3))];
                RankQueue::Request request { next++, rank, CallerId(std::to_string(*rc::gen::inRange(0, 4))), clock.now() + std::chrono::milliseconds(*rc::gen::inRange(1, 60)) };
                if (!queue.offer(request, clock.now()))
                    waiting.insert(request.ticket);
            } else if (choice < 5) {
                std::optional<RankQueue::Request> taken = queue.takeNext(clock.now());
                RC_ASSERT(taken.has_value() == !waiting.empty());
                // RC_ASSERT evaluates both sides of ||.
                if (taken)
                    RC_ASSERT(waiting.erase(taken->ticket) == 1);
            } else {
                clock.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 30)));
                for (const RankQueue::Request& expired : queue.takeExpired(clock.now())) {
                    RC_ASSERT(expired.deadline <= clock.now());
                    RC_ASSERT(waiting.erase(expired.ticket) == 1);
                }
                if (!waiting.empty())
                    RC_ASSERT(queue.remove(*waiting.begin()) && waiting.erase(*waiting.begin()) == 1);
            }
        }
        RC_ASSERT(queue.isEmpty() == waiting.empty());
    }));
}

TEST(RankQueue, startsUrgentFirstAndKeepsFloorsOfOtherRanks)
{
    RankQueue::Ticket next = 1;
    std::array<int, numRanks> started {};
    for (int count = 0; count < 3000; count++) {
        for (Rank rank : allRanks) {
            while (queue.getNumWaiting(rank) < 20)
                CHECK_FALSE(queue.offer(makeRequest(next++, rank, clock.now()), clock.now()).has_value());
        }
        started[toIndex(queue.takeNext(clock.now())->rank)]++;
    }
    CHECK(started[toIndex(Rank::Normal)] >= 299);
    CHECK(started[toIndex(Rank::Background)] >= 149);
    CHECK(started[toIndex(Rank::Urgent)] >= 2500);
}

TEST(RankQueue, startsUrgentRequestBeforeQueuedBackgroundRequests)
{
    for (RankQueue::Ticket ticket = 1; ticket <= 500; ticket++)
        queue.offer(makeRequest(ticket, Rank::Background, clock.now()), clock.now());
    queue.takeNext(clock.now());
    queue.offer(makeRequest(1000, Rank::Urgent, clock.now()), clock.now());
    CHECK_EQUAL(1000, queue.takeNext(clock.now())->ticket);
}

TEST(RankQueue, alternatesCallersWithinRank)
{
    RankQueue::Ticket next = 1;
    for (int count = 0; count < 50; count++)
        queue.offer(makeRequest(next++, Rank::Normal, clock.now(), "greedy"), clock.now());
    queue.offer(makeRequest(777, Rank::Normal, clock.now(), "modest"), clock.now());
    queue.takeNext(clock.now());
    CHECK_EQUAL(777, queue.takeNext(clock.now())->ticket);
}

TEST(RankQueue, refusesRequestWhoseWaitExceedsTargetOrDeadline)
{
    std::array<RankConfig, numRanks> ranks = makeRanks();
    ranks[toIndex(Rank::Normal)].target = std::chrono::milliseconds(50);
    queue.setRanks(ranks);
    for (int count = 0; count < 200; count++)
        queue.onFinished(std::chrono::milliseconds(10));

    RankQueue::Ticket next = 1;
    std::optional<Outcome> refusal;
    while (!refusal && next < 100)
        refusal = queue.offer(makeRequest(next++, Rank::Normal, clock.now()), clock.now());
    CHECK(refusal.has_value());
    CHECK(refusal->reason == NotRunReason::QueueFull);
    CHECK(next >= 5);
    CHECK(next <= 8);

    RankQueue::Request shortDeadline { next, Rank::Background, CallerId("c"), clock.now() + std::chrono::milliseconds(20) };
    CHECK(queue.offer(shortDeadline, clock.now())->reason == NotRunReason::DeadlineTooShort);
}

TEST_GROUP(ConcurrencyLimit) {};

TEST(ConcurrencyLimit, growsOnLowLatencyAndShrinksOnHighLatency)
{
    ConcurrencyLimit limit(2);
    for (int count = 0; count < 500; count++)
        limit.onSample(std::chrono::milliseconds(2), limit.getLimit());
    CHECK_EQUAL(4, limit.getLimit());
    for (int count = 0; count < 500; count++)
        limit.onSample(std::chrono::milliseconds(9), limit.getLimit());
    CHECK(limit.getLimit() <= 2);
    CHECK(limit.getLimit() >= 1);
}

TEST_GROUP(LoadShedder) {};

TEST(LoadShedder, refusesLeastUrgentFirstWhenTimerIsLateAndRecovers)
{
    ManualClock clock;
    LoadShedder shedder(std::chrono::milliseconds(5));
    auto runFor = [&](int numTicks, std::chrono::milliseconds interval) {
        for (int count = 0; count < numTicks; count++) {
            clock.advance(interval);
            shedder.onTick(clock.now());
        }
    };
    runFor(20, std::chrono::milliseconds(6));
    CHECK_FALSE(shedder.mustRefuse(Rank::Background));
    runFor(20, std::chrono::milliseconds(30));
    CHECK(shedder.mustRefuse(Rank::Background));
    CHECK_FALSE(shedder.mustRefuse(Rank::Normal));
    runFor(20, std::chrono::milliseconds(100));
    CHECK(shedder.mustRefuse(Rank::Normal));
    CHECK_FALSE(shedder.mustRefuse(Rank::Urgent));
    runFor(40, std::chrono::milliseconds(5));
    CHECK_FALSE(shedder.mustRefuse(Rank::Background));
}

TEST_GROUP(RankQueueEstimate) {};

// A process that was stopped counts the pause as service time. Its mean must not refuse every request from then on, since
// only a request that runs lowers it again.
TEST(RankQueueEstimate, emptyQueueAcceptsRequestAgainAfterOverlongServiceTimes)
{
    ManualClock clock;
    RankQueue queue(makeRanks());
    for (int finished = 0; finished < 20; finished++)
        queue.onFinished(std::chrono::seconds(3));
    bool isAccepted = false;
    for (int second = 0; second < 60 && !isAccepted; second++) {
        clock.advance(std::chrono::seconds(1));
        isAccepted = !queue.offer({ 1, Rank::Urgent, CallerId("c"), clock.now() + std::chrono::milliseconds(1500) }, clock.now());
    }
    CHECK_TRUE(isAccepted);
}

TEST_GROUP(RankQueueWeights)
{
    ManualClock clock;
    RankQueue queue { makeRanks() };
    RankQueue::Ticket next = 1;

    void fill(const std::string& caller, double weight, int number)
    {
        for (int count = 0; count < number; count++)
            queue.offer({ next++, Rank::Normal, CallerId(caller), clock.now() + distantDeadline, weight }, clock.now());
    }
};

// Workspaces with limits share an upstream by what they may send. Guards against equal turns for unequal limits.
TEST(RankQueueWeights, servesCallersInProportionToWeights)
{
    this->fill("large", 40, 1000);
    this->fill("medium", 20, 1000);
    this->fill("small", 10, 1000);
    std::map<CallerId, int> started;
    for (int count = 0; count < 700; count++)
        started[queue.takeNext(clock.now())->caller]++;
    CHECK(std::abs(started[CallerId("large")] - 400) <= 2);
    CHECK(std::abs(started[CallerId("medium")] - 200) <= 2);
    CHECK(std::abs(started[CallerId("small")] - 100) <= 2);
}

// Guards against a small workspace that waits for as many turns of a large one as their limits differ.
TEST(RankQueueWeights, smallCallerStartsAtItsFirstTurnAndSoonAgain)
{
    this->fill("large", 450, 1000);
    for (int count = 0; count < 10; count++)
        queue.takeNext(clock.now());
    this->fill("small", 2, 2);
    std::vector<int> positions;
    for (int position = 1; positions.size() < 2 && position < 100; position++) {
        if (queue.takeNext(clock.now())->caller == CallerId("small"))
            positions.push_back(position);
    }
    CHECK(positions.at(0) <= 2);
    CHECK(positions.at(1) <= 12);
}

// A request that cannot start yet. Guards against holding up the others, and against losing its turn.
TEST(RankQueueWeights, callerThatIsPassedOverKeepsItsTurn)
{
    this->fill("blocked", 1, 1);
    this->fill("a", 1, 3);
    this->fill("b", 1, 3);
    RankQueue::Filter isReady = [](const RankQueue::Request& request) { return request.caller != CallerId("blocked"); };
    CHECK(queue.takeNext(clock.now(), isReady)->caller == CallerId("a"));
    CHECK(queue.takeNext(clock.now(), isReady)->caller == CallerId("b"));
    CHECK(queue.findFirst(nullptr)->caller == CallerId("blocked"));
    CHECK(queue.takeNext(clock.now())->caller == CallerId("blocked"));
    CHECK_FALSE(queue.takeNext(clock.now(), [](const RankQueue::Request&) { return false; }).has_value());
    CHECK_EQUAL(4, queue.getNumWaiting(Rank::Normal));
}

// Deployments without workspaces. Guards against an order that differs from plain turns when all weights are equal.
TEST(RankQueueWeights, equalWeightsAreServedInTurns)
{
    CHECK(rc::check("callers with equal weights take turns", [] {
        ManualClock clock;
        RankQueue queue(makeRanks());
        std::list<std::pair<std::string, std::deque<RankQueue::Ticket>>> turns;
        for (RankQueue::Ticket ticket = 1; ticket <= 150; ticket++) {
            if (*rc::gen::inRange(0, 2) == 0) {
                std::string caller = std::to_string(*rc::gen::inRange(0, 5));
                queue.offer(makeRequest(ticket, Rank::Normal, clock.now(), caller), clock.now());
                auto found = std::find_if(turns.begin(), turns.end(), [&caller](const std::pair<std::string, std::deque<RankQueue::Ticket>>& entry) { return entry.first == caller; });
                if (found == turns.end())
                    found = turns.insert(turns.end(), { caller, {} });
                found->second.push_back(ticket);
                continue;
            }
            std::optional<RankQueue::Request> taken = queue.takeNext(clock.now());
            RC_ASSERT(taken.has_value() == !turns.empty());
            if (!taken)
                continue;
            RC_ASSERT(taken->ticket == turns.front().second.front());
            turns.front().second.pop_front();
            if (!turns.front().second.empty())
                turns.push_back(turns.front());
            turns.pop_front();
        }
    }));
}
