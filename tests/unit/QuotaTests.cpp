#include "../support/QuotaFleet.h"

#include <algorithm>
#include <map>
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

const WorkspaceId hot { "hot" };
const WorkspaceId small { "small" };
constexpr std::chrono::seconds warmUp { 8 };

std::size_t getBound(const QuotaLimit& limit)
{
    QuotaTolerance tolerance;
    double seconds = std::chrono::duration<double>(tolerance.window).count();
    return static_cast<std::size_t>((limit.ratePerSecond * seconds + limit.burst) * (1 + tolerance.overage) + tolerance.slack);
}

/// Sends operations to random instances, at a rate, for a time.
void operate(QuotaFleet& fleet, Random& random, const WorkspaceId& workspace, double ratePerSecond)
{
    double expected = ratePerSecond * std::chrono::duration<double>(QuotaFleet::step).count();
    for (; expected > 0; expected--) {
        if (random.unit() < expected)
            fleet.operate(random.below(fleet.getSize()), workspace);
    }
}

/// @returns the greatest sum of shares that the accountants count meanwhile
double runLoad(QuotaFleet& fleet, Random& random, const std::map<WorkspaceId, double>& rates, Duration span)
{
    double greatestShare = 0;
    for (Duration end = fleet.getTime() + span; fleet.getTime() < end;) {
        for (const std::pair<const WorkspaceId, double>& rate : rates)
            operate(fleet, random, rate.first, rate.second);
        fleet.advance();
        greatestShare = std::max(greatestShare, fleet.findGreatestShare());
    }
    return greatestShare;
}

/// Injects one fault or ends one.
void injectFault(QuotaFleet& fleet, Random& random, std::set<std::size_t>& killed)
{
    std::size_t index = random.below(fleet.getSize());
    std::size_t other = random.below(fleet.getSize());
    switch (random.below(8)) {
    case 0:
        if (killed.insert(index).second)
            fleet.kill(index);
        break;
    case 1:
        if (killed.erase(index) > 0)
            fleet.restart(index);
        break;
    case 2:
    case 3:
        fleet.setFrozen(index, random.below(2) == 0);
        break;
    case 4:
    case 5:
        if (index != other)
            fleet.setCut(index, other, random.below(2) == 0);
        break;
    case 6:
        fleet.faults.maximumDelay = std::chrono::milliseconds(1 + random.below(random.below(2) == 0 ? 20 : 1500));
        fleet.faults.lostPercent = static_cast<int>(random.below(30));
        fleet.faults.repeatedPercent = static_cast<int>(random.below(30));
        break;
    default:
        if (killed.count(index) == 0)
            fleet.stop(index);
        break;
    }
}

} // namespace

TEST_GROUP(Quota) {};

// Guards against a share that counts at two coordinators, tokens from a pause, a restart, a late or a repeated message,
// and an operation that runs long after its admission.
TEST(Quota, neverExceedsLimitUnderFaults)
{
    bool isHeld = rc::check([](std::uint64_t seed) {
        Random random(seed);
        QuotaFleet fleet(8 + random.below(8), 1 + random.below(3), seed);
        std::vector<QuotaLimit> limits { { hot, 40, 10 }, { small, 2, 4 } };
        fleet.setLimits(limits);
        std::set<std::size_t> killed;
        for (int round = 0; round < 120; round++) {
            // Bursts after silence use up full buckets.
            double factor = random.below(2) == 0 ? 0.0 : 10.0;
            double share = runLoad(fleet, random, { { hot, 40 * factor }, { small, 20 * factor } }, std::chrono::milliseconds(random.below(400)));
            RC_ASSERT(share <= 1 + 1e-9);
            injectFault(fleet, random, killed);
        }
        for (const QuotaLimit& limit : limits)
            RC_ASSERT(fleet.findBusiestWindow(limit.workspace) <= getBound(limit));
    });
    CHECK(isHeld);
}

// Guards against the same while all shares are delegated, so that admissions come close to the bound.
TEST(Quota, usesShareOnceWhenCoordinatorChanges)
{
    bool isHeld = rc::check([](std::uint64_t seed) {
        Random random(seed);
        QuotaFleet fleet(9, 3, seed);
        fleet.setLimits({ { hot, 40, 10 } });
        fleet.run(warmUp);
        for (int round = 0; round < 6; round++) {
            std::size_t coordinator = fleet.findCoordinator(hot, random.below(3));
            fleet.setFrozen(coordinator, true);
            double share = runLoad(fleet, random, { { hot, 200 } }, std::chrono::milliseconds(100 + random.below(1500)));
            fleet.setFrozen(coordinator, false);
            share = std::max(share, runLoad(fleet, random, { { hot, 200 } }, std::chrono::milliseconds(random.below(8000))));
            RC_ASSERT(share <= 1 + 1e-9);
        }
        RC_ASSERT(fleet.findBusiestWindow(hot) <= getBound({ hot, 40, 10 }));
    });
    CHECK(isHeld);
}

// Guards against a limit that the division among zones and instances makes lower than stated.
TEST(Quota, servesWorkspacesBelowTheirLimits)
{
    QuotaFleet fleet(79, 3, 1);
    Random random(1);
    fleet.setLimits({ { hot, 450, 225 }, { small, 2, 2 } });
    fleet.run(warmUp);
    runLoad(fleet, random, { { hot, 450 / 1.6 }, { small, 2 / 1.6 } }, std::chrono::seconds(60));
    CHECK_EQUAL(0, fleet.countRefused(hot));
    CHECK(fleet.countAdmitted(small) > 50);
    CHECK(fleet.countRefused(small) <= 1);
}

// Guards against a hot workspace that uses tokens of others, and against a message for each of its operations.
TEST(Quota, hotWorkspaceDoesNotAffectOthers)
{
    QuotaFleet fleet(79, 3, 2);
    Random random(2);
    fleet.setLimits({ { hot, 100, 50 }, { small, 2, 4 } });
    fleet.run(2 * warmUp);
    std::uint64_t before = fleet.countMessages();
    runLoad(fleet, random, { { hot, 440 }, { small, 1.2 } }, std::chrono::seconds(20));
    std::size_t admitted = fleet.countAdmitted(hot);
    CHECK(admitted > 1900 && admitted < 2200);
    CHECK(fleet.findBusiestWindow(hot) <= getBound({ hot, 100, 50 }));
    // The operations of a small workspace may come to one zone by chance, more than its part of the limit.
    CHECK(fleet.countAdmitted(small) > 15);
    CHECK(fleet.countRefused(small) <= 1);
    // Heartbeats and their answers of 79 instances, and two messages for each operation.
    CHECK(fleet.countMessages() - before < 20 * (79 * 4 * 2 * 7 + 440 * 2));
}

// Guards against operations that are refused while a coordinator is replaced.
TEST(Quota, survivesLossOfCoordinator)
{
    QuotaFleet fleet(27, 3, 3);
    Random random(3);
    fleet.setLimits({ { hot, 160, 80 }, { small, 2, 4 } });
    fleet.run(warmUp);
    for (bool isFrozen : { false, true }) {
        std::size_t coordinator = fleet.findCoordinator(hot, isFrozen ? 1 : 0);
        if (isFrozen)
            fleet.setFrozen(coordinator, true);
        else
            fleet.kill(coordinator);
        std::size_t before = fleet.countRefused(hot);
        runLoad(fleet, random, { { hot, 100 } }, std::chrono::seconds(10));
        // One third of the operations meets the lost coordinator, those on the lost instance are not counted.
        CHECK(fleet.countRefused(hot) - before <= 20);
    }
    CHECK(fleet.findBusiestWindow(hot) <= getBound({ hot, 160, 80 }));
}

// Guards against a share that waits for its expiry although its coordinator has stopped as planned.
TEST(Quota, movesAtOnceWhenCoordinatorStops)
{
    QuotaFleet fleet(9, 1, 4);
    Random random(4);
    fleet.setLimits({ { hot, 160, 80 } });
    fleet.run(warmUp);
    fleet.stop(fleet.findCoordinator(hot, 0));
    runLoad(fleet, random, { { hot, 90 } }, std::chrono::seconds(5));
    CHECK(fleet.countRefused(hot) <= 3);
}

// Guards against tokens of a former limit that stay after it was lowered.
TEST(Quota, lowersLimitAtOnce)
{
    QuotaFleet fleet(12, 3, 5);
    Random random(5);
    fleet.setLimits({ { hot, 400, 400 } });
    fleet.run(warmUp);
    fleet.setLimits({ { hot, 10, 5 } });
    Duration lowered = fleet.getTime();
    runLoad(fleet, random, { { hot, 800 } }, std::chrono::seconds(10));
    CHECK(fleet.findBusiestWindow(hot, lowered + std::chrono::milliseconds(20)) <= getBound({ hot, 10, 5 }));
    CHECK(fleet.countRefused(hot) > 0);
}

// Guards against an instance without any link that admits more than its own share.
TEST(Quota, instanceWithoutLinksUsesItsShare)
{
    QuotaFleet fleet(10, 1, 6);
    fleet.setLimits({ { hot, 100, 50 } });
    fleet.run(warmUp);
    for (std::size_t other = 1; other < fleet.getSize(); other++)
        fleet.setCut(0, other, true);
    fleet.run(std::chrono::seconds(10));
    Duration begin = fleet.getTime();
    while (fleet.getTime() < begin + std::chrono::seconds(20)) {
        fleet.operate(0, hot);
        fleet.advance();
    }
    std::size_t admitted = fleet.countAdmitted(hot);
    CHECK(admitted >= 180 && admitted <= 220);
}

namespace {

/// Keeps the messages that a client or an accountant sends.
struct SentMessages : QuotaClient::Transport, QuotaAccountant::Transport {
    void sendToCoordinator(const FleetMember&, const QuotaMessage& message) override { this->messages.push_back(message); }
    void dropLink(const InstanceId&) override { }
    void sendToClient(std::uint64_t, const QuotaMessage& message) override { this->messages.push_back(message); }

    std::vector<QuotaMessage> messages;
};

QuotaMessage makeHeartbeat(const std::string& instance, Duration time)
{
    QuotaMessage message;
    message.instance = InstanceId(instance);
    message.epoch = 7;
    message.time = time;
    message.numInstances = 1;
    message.partitions = 15;
    return message;
}

} // namespace

// Guards against a heartbeat that was under way for long and extends a delegation that its client has ended.
TEST(Quota, lateHeartbeatEndsWithItsDelegation)
{
    ManualClock clock;
    SentMessages sent;
    QuotaAccountant accountant(clock, QuotaTolerance(), 7, sent);
    Duration sentAt = std::chrono::duration_cast<Duration>(clock.bootNow().time_since_epoch());
    clock.advance(std::chrono::milliseconds(400));
    accountant.onMessage(1, makeHeartbeat("a", sentAt));
    CHECK_EQUAL(numQuotaPartitions, accountant.countDelegations());
    clock.advance(std::chrono::milliseconds(60));
    CHECK_EQUAL(0, accountant.countDelegations());
    accountant.onMessage(1, makeHeartbeat("a", sentAt));
    CHECK_EQUAL(0, accountant.countDelegations());
}

namespace {

/// @returns the number of operations of a workspace that an accountant admits at once
std::size_t countTokens(QuotaAccountant& accountant, SentMessages& sent, const WorkspaceId& workspace, std::uint64_t firstRequest)
{
    sent.messages.clear();
    QuotaMessage request;
    request.kind = QuotaMessage::Kind::Request;
    request.workspace = workspace;
    for (request.request = firstRequest; request.request < firstRequest + 1000; request.request++)
        accountant.onMessage(1, request);
    return static_cast<std::size_t>(std::count_if(sent.messages.begin(), sent.messages.end(), [](const QuotaMessage& message) { return message.kind == QuotaMessage::Kind::Admitted; }));
}

} // namespace

// Guards against tokens for the time of a pause in which the delegations had expired, and against a repeated request
// that takes another token.
TEST(Quota, pauseOfAccountantAddsNoTokens)
{
    ManualClock clock;
    SentMessages sent;
    QuotaAccountant accountant(clock, QuotaTolerance(), 7, sent);
    accountant.setLimits({ { hot, 100, 500 } });
    accountant.onMessage(1, makeHeartbeat("a", std::chrono::duration_cast<Duration>(clock.bootNow().time_since_epoch())));
    clock.suspend(std::chrono::seconds(60));
    accountant.onMessage(1, makeHeartbeat("a", std::chrono::duration_cast<Duration>(clock.bootNow().time_since_epoch())));
    // The tokens end with the shares.
    CHECK_EQUAL(0, countTokens(accountant, sent, hot, 1));
    clock.suspend(std::chrono::milliseconds(100));
    CHECK_EQUAL(0, countTokens(accountant, sent, hot, 1));
    CHECK_EQUAL(10, countTokens(accountant, sent, hot, 1001));
}

// Guards against a heartbeat for a former process, whose clock says nothing about that of this one.
TEST(Quota, heartbeatForOtherProcessDelegatesNothing)
{
    ManualClock clock;
    SentMessages sent;
    QuotaAccountant accountant(clock, QuotaTolerance(), 8, sent);
    accountant.onMessage(1, makeHeartbeat("a", std::chrono::duration_cast<Duration>(clock.bootNow().time_since_epoch())));
    CHECK_EQUAL(0, accountant.countDelegations());
    CHECK_EQUAL(8, sent.messages.back().epoch);
}

// Guards against a share that counts twice because a former process of the same id delegated it elsewhere.
TEST(Quota, startedInstanceWaitsBeforeItDelegates)
{
    ManualClock clock;
    SentMessages sent;
    QuotaClient client(clock, QuotaTolerance(), InstanceId("a"), sent);
    client.setPlan(QuotaPlan({}, ZoneId("z"), InstanceId("a")), 1);
    QuotaMessage alive;
    alive.kind = QuotaMessage::Kind::Alive;
    alive.epoch = 7;
    for (int elapsed = 0; elapsed < 2500; elapsed += 50) {
        client.tick();
        client.onMessage(InstanceId("a"), alive);
        bool isDelegated = std::any_of(sent.messages.begin(), sent.messages.end(), [](const QuotaMessage& message) { return message.partitions != 0; });
        CHECK_FALSE(isDelegated && elapsed < delegationDuration.count());
        CHECK(isDelegated == client.hasDelegatedAll());
        clock.advance(std::chrono::milliseconds(50));
    }
    CHECK(client.hasDelegatedAll());
}

// Guards against messages that decode to other values, and against malformed ones that are accepted.
TEST(Quota, messagesSurviveEncoding)
{
    QuotaMessage heartbeat = makeHeartbeat("a", Duration(123456789));
    heartbeat.credits = 5;
    std::optional<QuotaMessage> decoded = decodeQuotaMessage(encodeQuotaMessage(heartbeat));
    CHECK(decoded && decoded->instance == heartbeat.instance && decoded->epoch == 7 && decoded->time == heartbeat.time);
    CHECK(decoded->numInstances == 1 && decoded->partitions == 15 && decoded->credits == 5);
    QuotaMessage refused;
    refused.kind = QuotaMessage::Kind::Refused;
    refused.request = 9;
    refused.retryAfter = std::chrono::milliseconds(30);
    decoded = decodeQuotaMessage(encodeQuotaMessage(refused));
    CHECK(decoded && decoded->kind == refused.kind && decoded->request == 9 && decoded->retryAfter == refused.retryAfter);
    bool isSafe = rc::check([&heartbeat](const std::string& bytes, std::uint8_t position, std::uint8_t value) {
        decodeQuotaMessage(bytes);
        std::string altered = encodeQuotaMessage(heartbeat);
        altered[position % altered.size()] = static_cast<char>(value);
        std::optional<QuotaMessage> message = decodeQuotaMessage(altered);
        RC_ASSERT(!message || message->kind != QuotaMessage::Kind::Heartbeat || message->partitions == 0 || message->numInstances > 0);
    });
    CHECK(isSafe);
}

// Guards against an admission that is lost, or used twice, when its operation did not run.
TEST(Quota, givesBackAdmissionOnce)
{
    ManualClock clock;
    SentMessages sent;
    QuotaClient client(clock, QuotaTolerance(), InstanceId("a"), sent);
    client.setLimits({ { hot, 1, 1 } });
    int numAdmitted = 0;
    QuotaClient::Callback count = [&numAdmitted](const QuotaDecision& decision) { numAdmitted += decision.isAdmitted() ? 1 : 0; };
    client.giveBack(hot);
    client.admit(hot, count);
    CHECK_EQUAL(1, numAdmitted);
    CHECK(client.admit(hot, count) != 0);
    client.giveBack(hot);
    // The spare admission is too old by then, and the waiting request as well.
    clock.advance(std::chrono::milliseconds(600));
    CHECK(client.admit(hot, count) != 0);
    client.tick();
    CHECK_EQUAL(1, numAdmitted);
    CHECK_EQUAL(1, client.getCounts().numUndecided);
    client.admit(WorkspaceId("unlimited"), count);
    CHECK_EQUAL(2, numAdmitted);
}

// Guards against an operation that runs long after it was admitted, and counts in a later window.
TEST(Quota, doesNotUseLateGrant)
{
    ManualClock clock;
    SentMessages sent;
    QuotaClient client(clock, QuotaTolerance(), InstanceId("a"), sent);
    client.setLimits({ { hot, 1, 1 } });
    client.setPlan(QuotaPlan({}, ZoneId("z"), InstanceId("a")), 1);
    client.tick();
    QuotaMessage alive;
    alive.kind = QuotaMessage::Kind::Alive;
    alive.epoch = 7;
    client.onMessage(InstanceId("a"), alive);
    for (int delay : { 490, 510 }) {
        std::optional<QuotaDecision> decision;
        sent.messages.clear();
        client.admit(hot, [&decision](const QuotaDecision& made) { decision = made; });
        CHECK_EQUAL(1, sent.messages.size());
        QuotaMessage admitted;
        admitted.kind = QuotaMessage::Kind::Admitted;
        admitted.request = sent.messages.front().request;
        clock.advance(std::chrono::milliseconds(delay));
        client.onMessage(InstanceId("b"), admitted);
        CHECK_FALSE(decision.has_value());
        client.onMessage(InstanceId("a"), admitted);
        CHECK_EQUAL(delay < 500, decision->isAdmitted());
    }
}
