#include "../../src/gateway/MemberDirectory.h"
#include "lentiljunction/leadership/RollCall.h"
#include "lentiljunction/leadership/TakeoverVote.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

constexpr std::chrono::milliseconds step { 200 };
constexpr std::chrono::milliseconds readInterval { 400 };
constexpr std::chrono::milliseconds voteInterval { 1000 };

/// Registered instances of which some are lost, cut off from each other, or cut off from the store. Each one that runs
/// considers a takeover once a second, and all have lost the primary.
class VotingFleet {
public:
    explicit VotingFleet(int numInstances)
    {
        std::vector<FleetMember> members;
        for (int number = 0; number < numInstances; number++) {
            Instance instance;
            instance.id = InstanceId("front-" + std::to_string(number));
            members.push_back({ instance.id, ZoneId("z"), Endpoint { "127.0.0.1", static_cast<std::uint16_t>(number + 1) } });
            this->instances.push_back(instance);
        }
        for (Instance& instance : this->instances)
            instance.members.setMembers(members, this->clock.bootNow());
    }

    void lose(int number) { this->instances[number].isRunning = false; }
    void setSide(int number, int side) { this->instances[number].side = side; }
    void setStoreReachable(int number, bool isReachable) { this->instances[number].reachesStore = isReachable; }
    void setStoreAvailable(bool isAvailable) { this->isStoreAvailable = isAvailable; }

    /// @returns the sides that won a vote meanwhile
    std::set<int> advance(std::chrono::milliseconds span)
    {
        std::set<int> winners;
        for (std::chrono::milliseconds passed(0); passed < span; passed += step) {
            this->clock.advance(step);
            this->ticks++;
            for (std::size_t number = 0; number < this->instances.size(); number++) {
                Instance& instance = this->instances[number];
                if (!instance.isRunning)
                    continue;
                if (this->isDue(number, readInterval))
                    this->read(instance);
                if (this->isDue(number, voteInterval) && this->vote(instance))
                    winners.insert(instance.side);
            }
        }
        return winners;
    }

    std::size_t countWrites() const { return this->numWrites; }

private:
    struct Instance {
        InstanceId id;
        int side = 0;
        bool isRunning = true;
        bool reachesStore = true;
        BootTime readAt;
        RollCall rollCall;
        MemberDirectory members;
    };

    bool isDue(std::size_t number, std::chrono::milliseconds interval) const { return (this->ticks + number) % static_cast<std::size_t>(interval / step) == 0; }
    bool mayUseStore(const Instance& instance) const { return instance.reachesStore && this->isStoreAvailable; }

    void read(Instance& instance)
    {
        BootTime now = this->clock.bootNow();
        if (this->mayUseStore(instance)) {
            instance.readAt = now;
            if (this->absent.erase(instance.id) > 0)
                this->numWrites++;
        }
        bool hasLease = now - instance.readAt < std::chrono::milliseconds(1500);
        instance.members.updateAbsent(this->absent, hasLease, now);
        instance.rollCall.onRecord(this->absent, this->clock.now());
    }

    bool vote(Instance& instance)
    {
        std::vector<FleetMember> active = instance.members.listActive(this->clock.bootNow());
        TakeoverVote vote(active.size());
        for (const FleetMember& member : active) {
            if (member.id == instance.id)
                continue;
            const Instance& other = this->instances[std::stoul(member.id.toString().substr(6))];
            bool hasResponded = other.isRunning && other.side == instance.side;
            instance.rollCall.onAsked(member.id, hasResponded, this->clock.now());
            if (hasResponded)
                vote.addVote(true);
        }
        if (vote.isWon() || !this->mayUseStore(instance))
            return vote.isWon() && this->mayUseStore(instance);
        std::vector<InstanceId> silent = instance.rollCall.listSilent(this->instances.front().id, this->clock.now());
        silent.erase(std::remove_if(silent.begin(), silent.end(), [this](const InstanceId& id) { return this->absent.count(id) > 0; }), silent.end());
        if (silent.empty())
            return false;
        this->absent.insert(silent.begin(), silent.end());
        this->numWrites++;
        instance.rollCall.onListed(silent, this->clock.now());
        return false;
    }

    ManualClock clock;
    std::vector<Instance> instances;
    std::set<InstanceId> absent;
    bool isStoreAvailable = true;
    std::size_t ticks = 0;
    std::size_t numWrites = 0;
};

} // namespace

TEST_GROUP(RollCall) {};

// Most instances are lost for good, killed or with their machines. Guards against a fleet that can never replace a primary.
TEST(RollCall, instancesThatAreLeftGetMajority)
{
    for (int numLost = 1; numLost <= 5; numLost++) {
        VotingFleet fleet(7);
        for (int number = 0; number < numLost; number++)
            fleet.lose(number);
        LONGS_EQUAL(1, fleet.advance(std::chrono::seconds(9)).size());
    }
}

// Two sides of a cut both reach the store, for minutes. Guards against both having a majority, and against a minority that
// replaces a primary that works for the others.
TEST(RollCall, minorityOfCutNeverGetsMajority)
{
    for (int size = 1; size <= 3; size++) {
        VotingFleet fleet(7);
        for (int number = 0; number < size; number++)
            fleet.setSide(number, 1);
        CHECK(fleet.advance(std::chrono::minutes(5)) == std::set<int> { 0 });
    }
}

// The store turns away, for less than a lease, all instances beside the cut. Guards against instances that could not return being
// taken for lost.
TEST(RollCall, minorityGetsNoMajorityBesideStoreThatIsAway)
{
    VotingFleet fleet(7);
    for (int number = 0; number < 3; number++)
        fleet.setSide(number, 1);
    for (int round = 0; round < 30; round++) {
        CHECK(fleet.advance(std::chrono::seconds(2)).count(1) == 0);
        fleet.setStoreAvailable(false);
        CHECK(fleet.advance(std::chrono::seconds(round % 8)).count(1) == 0);
        fleet.setStoreAvailable(true);
    }
}

// Guards against writes without end by instances that list each other again and again.
TEST(RollCall, instancesThatReturnedAreNotListedAgainForSomeTime)
{
    VotingFleet fleet(7);
    for (int number = 0; number < 3; number++)
        fleet.setSide(number, 1);
    fleet.advance(std::chrono::seconds(50));
    std::size_t numWrites = fleet.countWrites();
    fleet.advance(std::chrono::seconds(10));
    CHECK_EQUAL(numWrites, fleet.countWrites());
}

// The other side reaches neither these instances nor the store, so it cannot replace a primary. Guards against a fleet that
// waits for it for ever.
TEST(RollCall, sideWithoutStoreIsNotWaitedFor)
{
    VotingFleet fleet(7);
    for (int number = 0; number < 3; number++)
        fleet.setSide(number, 1);
    for (int number = 3; number < 7; number++)
        fleet.setStoreReachable(number, false);
    CHECK(fleet.advance(std::chrono::seconds(12)) == std::set<int> { 1 });
}

// A zone of a large fleet is cut off, and both sides reach the store. Guards against a call that makes all the others write to the
// record: 1,600 calls of the store in a few seconds, and a new record for all instances with each of them.
TEST(RollCall, cutZoneOfLargeFleetCausesFewWrites)
{
    VotingFleet fleet(79);
    for (int number = 0; number < 26; number++)
        fleet.setSide(number, 1);
    CHECK(fleet.advance(std::chrono::seconds(30)) == std::set<int> { 0 });
    CHECK(fleet.countWrites() <= 79);
}

// Guards against a large fleet that waits for ever for those that were lost.
TEST(RollCall, instancesThatAreLeftOfLargeFleetGetMajority)
{
    VotingFleet fleet(79);
    for (int number = 0; number < 60; number++)
        fleet.lose(number);
    LONGS_EQUAL(1, fleet.advance(std::chrono::seconds(12)).size());
}
