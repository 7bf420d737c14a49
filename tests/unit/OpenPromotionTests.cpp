#include "lentiljunction/leadership/lj_leadership.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

const GroupId group("g");

OpenPromotion makeCall(const std::string& upstream, std::uint64_t epoch, std::uint64_t generation)
{
    return { UpstreamId(upstream), FencingToken(epoch), generation };
}

PrimaryRecord makeRecord(PrimaryPhase phase, const std::string& primary, std::vector<OpenPromotion> promotions)
{
    PrimaryRecord record;
    PrimaryEntry& entry = record.groups[group];
    entry.phase = phase;
    entry.primary = UpstreamId(primary);
    entry.openPromotions = std::move(promotions);
    return record;
}

} // namespace

TEST_GROUP(OpenPromotionTracker)
{
    ManualClock clock;
    OpenPromotionTracker tracker;

    void process(const PrimaryRecord& record) { this->tracker.onRecord(record, this->clock.bootNow()); }
    bool hasEnded(const OpenPromotion& promotion) const { return this->tracker.hasEnded(group, promotion, this->clock.bootNow()); }

    static bool isReplaceable(const PrimaryRecord& record)
    {
        PrimaryView view;
        view.latest.record = std::make_shared<PrimaryRecord>(record);
        return view.isReplaceable(group);
    }
};

// Guards against acknowledgements under a lease while a call for another upstream may have taken effect.
TEST(OpenPromotionTracker, callForAnotherUpstreamMakesPrimaryReplaceable)
{
    CHECK_TRUE(isReplaceable(makeRecord(PrimaryPhase::Stable, "u3", { makeCall("u1", 4, 1), makeCall("u3", 4, 1) })));
    CHECK_FALSE(isReplaceable(makeRecord(PrimaryPhase::Stable, "u1", { makeCall("u1", 4, 1) })));
    CHECK_FALSE(isReplaceable(makeRecord(PrimaryPhase::Changing, "u3", { makeCall("u1", 4, 1) })));
}

TEST(OpenPromotionTracker, callEndsAfterItsLifetime)
{
    process(makeRecord(PrimaryPhase::Stable, "u3", { makeCall("u1", 4, 1), makeCall("u3", 4, 1) }));
    clock.advance(promotionCallLifetime - std::chrono::milliseconds(1));
    CHECK_FALSE(hasEnded(makeCall("u1", 4, 1)));
    clock.advance(std::chrono::milliseconds(1));
    CHECK_TRUE(hasEnded(makeCall("u1", 4, 1)));
    CHECK_FALSE(hasEnded(makeCall("u1", 5, 1)));
    CHECK_FALSE(tracker.isSilenceAccepted(group, makeCall("u1", 4, 1), clock.bootNow()));
    clock.advance(silentCallLimit - promotionCallLifetime);
    CHECK_TRUE(tracker.isSilenceAccepted(group, makeCall("u1", 4, 1), clock.bootNow()));
}

// Guards against a copy of a call that outlives its failover: the next failover begins before the lifetime ends.
TEST(OpenPromotionTracker, callOfEarlierFailoverEndsAtItsOwnTime)
{
    process(makeRecord(PrimaryPhase::Stable, "u1", { makeCall("u1", 4, 1) }));
    clock.advance(std::chrono::seconds(3));
    process(makeRecord(PrimaryPhase::Changing, "u1", { makeCall("u1", 4, 1), makeCall("u2", 4, 2) }));
    clock.advance(std::chrono::seconds(1));
    process(makeRecord(PrimaryPhase::Stable, "u2", { makeCall("u1", 4, 1), makeCall("u2", 4, 2) }));
    CHECK_FALSE(hasEnded(makeCall("u1", 4, 1)));
    clock.advance(promotionCallLifetime - std::chrono::seconds(4));
    CHECK_TRUE(hasEnded(makeCall("u1", 4, 1)));
    CHECK_FALSE(hasEnded(makeCall("u2", 4, 2)));
}

// While the group is changing, the coordinator may repeat its calls.
TEST(OpenPromotionTracker, lifetimeBeginsOnceThePrimaryIsNamed)
{
    process(makeRecord(PrimaryPhase::Changing, "u0", { makeCall("u1", 4, 1) }));
    clock.advance(2 * promotionCallLifetime);
    CHECK_FALSE(hasEnded(makeCall("u1", 4, 1)));
    process(makeRecord(PrimaryPhase::Stable, "u3", { makeCall("u1", 4, 1) }));
    CHECK_FALSE(hasEnded(makeCall("u1", 4, 1)));
    clock.advance(promotionCallLifetime);
    CHECK_TRUE(hasEnded(makeCall("u1", 4, 1)));
}

// A lease does not suffice for a primary that an earlier call may replace.
TEST(OpenPromotionTracker, leaseDoesNotCoverReplaceablePrimary)
{
    LeaseTracker leases(InstanceId("one"), clock);
    leases.onRegistered(StoreEra());
    leases.onStoreResponse({ std::make_shared<PrimaryRecord>(makeRecord(PrimaryPhase::Stable, "u3", { makeCall("u1", 4, 1) })), StoreVersion(7) }, clock.bootNow());
    CHECK_TRUE(leases.getView().hasValidLease(clock.bootNow()));
    CHECK_FALSE(leases.getView().hasValidLease(group, clock.bootNow()));
    CHECK_TRUE(leases.getView().hasValidLease(GroupId("other"), clock.bootNow()));
    // That a call has ended does not show whether it took effect.
    clock.advance(2 * promotionCallLifetime);
    leases.onStoreResponse(leases.getView().latest, clock.bootNow());
    CHECK_TRUE(leases.getView().hasValidLease(clock.bootNow()));
    CHECK_FALSE(leases.getView().hasValidLease(group, clock.bootNow()));
}

TEST(OpenPromotionTracker, callsAreEncodedWithTheRecord)
{
    PrimaryRecord record = makeRecord(PrimaryPhase::Changing, "u0", { makeCall("u1", 4, 1), makeCall("u2", 5, 1) });
    Failure failure;
    std::optional<PrimaryRecord> decoded = decodePrimaryRecord(encodePrimaryRecord(record), failure);
    CHECK_TRUE(decoded && decoded->groups.at(group).openPromotions == record.groups.at(group).openPromotions);
    nlohmann::json malformed = encodePrimaryRecord(record);
    malformed["groups"]["g"]["open_promotions"] = "none";
    CHECK_FALSE(decodePrimaryRecord(malformed, failure).has_value());
}
