#include "../../src/gateway/MemberRegistration.h"
#include "../support/QueuedFleetStore.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

/// A store that executes writes and may lose the responses to them.
class LossyRegistrationStore : public QueuedFleetStore {
public:
    void readMember(const InstanceId&, Callback<RegisteredMember> callback) override
    {
        Failure missing;
        missing.set(Failure::Kind::NotFound, "no entry");
        if (this->entry)
            callback(RegisteredMember { *this->entry, StoreEra(1), StoreVersion(7) }, Failure());
        else
            callback(std::nullopt, missing);
    }

    void registerMember(const FleetMember& member, Callback<StoreEra> callback) override
    {
        this->numWrites++;
        if (!this->isLate)
            this->entry = member;
        Failure lost;
        lost.set(Failure::Kind::InDoubt, "no response");
        if (this->losesResponses)
            callback(std::nullopt, lost);
        else
            callback(StoreEra(1), Failure());
    }

    void removeMember(const InstanceId&, StoreVersion expected, Callback<bool> callback) override
    {
        LONGS_EQUAL(7, expected.value());
        Failure unavailable;
        unavailable.set(Failure::Kind::Unavailable, "down");
        if (this->refusesRemovals)
            return callback(std::nullopt, unavailable);
        this->entry.reset();
        callback(true, Failure());
    }

    std::optional<FleetMember> entry;
    bool refusesRemovals = false;
    bool losesResponses = false;
    /// Writes are not executed yet.
    bool isLate = false;
    int numWrites = 0;
};

} // namespace

TEST_GROUP(MemberRegistration)
{
    ManualClock clock;
    ManualScheduler scheduler { clock };
    LossyRegistrationStore store;
    int numRegistered = 0;
    FleetMember self { InstanceId("a"), ZoneId("z"), Endpoint { "127.0.0.1", 1 } };
    MemberRegistration registration { scheduler, store, self, [this](StoreEra) { this->numRegistered++; } };
};

// A fleet that started while the store lost the responses to writes had no lease until a response came through.
TEST(MemberRegistration, writeWithoutResponseIsReadBack)
{
    store.losesResponses = true;
    registration.start();
    scheduler.advance(std::chrono::milliseconds(100));
    LONGS_EQUAL(1, numRegistered);
    LONGS_EQUAL(1, store.numWrites);
}

TEST(MemberRegistration, writeThatIsNotExecutedIsRepeated)
{
    store.losesResponses = true;
    store.isLate = true;
    registration.start();
    scheduler.advance(std::chrono::milliseconds(100));
    LONGS_EQUAL(0, numRegistered);
    store.isLate = false;
    scheduler.advance(std::chrono::seconds(1));
    LONGS_EQUAL(1, numRegistered);
}

// Instances that start again find their entry, and need no write to use it.
TEST(MemberRegistration, entryOfTheFormerProcessIsUsed)
{
    store.entry = self;
    registration.start();
    LONGS_EQUAL(1, numRegistered);
    LONGS_EQUAL(0, store.numWrites);
    registration.setLending({ "127.0.0.1", 2 });
    LONGS_EQUAL(1, store.numWrites);
    LONGS_EQUAL(2, numRegistered);
}

// Guards against instances that left and are counted for ever (review case 8).
TEST(MemberRegistration, processThatLeavesRemovesItsEntry)
{
    registration.start();
    bool isRemoved = false;
    store.refusesRemovals = true;
    registration.remove([&] { isRemoved = true; });
    CHECK_FALSE(isRemoved);
    store.refusesRemovals = false;
    scheduler.advance(std::chrono::seconds(1));
    CHECK_TRUE(isRemoved);
    CHECK_FALSE(store.entry.has_value());
    registration.start();
    registration.setLending(Endpoint { "127.0.0.1", 2 });
    CHECK_FALSE(store.entry.has_value());
}

// The next process of the instance has registered already. Guards against an instance that runs, with leases for which no
// failover waits, without an entry.
TEST(MemberRegistration, entryOfNextProcessIsNotRemoved)
{
    registration.start();
    FleetMember next = self;
    next.process = ProcessNumber(2);
    store.entry = next;
    bool isRemoved = false;
    registration.remove([&] { isRemoved = true; });
    CHECK_TRUE(isRemoved);
    CHECK_TRUE(store.entry.has_value());
}
