#include "../../platform/LineProtocol.h"
#include "../../src/traffic/TrafficState.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

/// An instance that started after the store had returned from a copy without the last failover: the record that it
/// read does not show that u2 replaced u1 in term 2, with the log up to position 7 of term 1.
class StartedInstance : private UpstreamPool::Listener {
public:
    StartedInstance()
        : state({ this->loop, this->clock, this->protocol, InstanceId("front-1"), *this }, ZoneId("z1"))
    {
        std::shared_ptr<UpstreamList> upstreams = std::make_shared<UpstreamList>();
        for (const char* id : { "u1", "u2", "u3" }) {
            UpstreamEntry entry;
            entry.id = UpstreamId(id);
            entry.group = this->group;
            entry.zone = ZoneId("z1");
            entry.claimsPrimary = entry.id == this->primary;
            upstreams->entries[entry.id] = entry;
        }
        this->state.setUpstreams(upstreams);
        std::shared_ptr<PrimaryRecord> restored = std::make_shared<PrimaryRecord>();
        restored->era = StoreEra(1);
        this->state.setPrimaryView({ { restored, StoreVersion(12), StoreEra(2) }, BootTime() });
    }

    /// Another instance tells of the record before the restore.
    void learnFailover()
    {
        std::shared_ptr<PrimaryRecord> known = std::make_shared<PrimaryRecord>();
        known->era = StoreEra(1);
        known->groups[this->group] = { PrimaryPhase::Stable, this->primary, 1, { Term(1), Position(7) }, Term(2), StoreEra(1) };
        this->state.setPrimaryView({ { known, StoreVersion(15), StoreEra(1) }, BootTime() });
    }

    /// @returns the log point that a replica needs for a read that arrives now
    std::optional<LogPoint> findRequired(Consistency consistency, std::optional<LogPoint> ownCommit)
    {
        Route route;
        route.group = this->group;
        route.consistency = consistency;
        route.maximumStaleness = std::chrono::milliseconds(1500);
        ReadRequirement requirement;
        requirement.route = &route;
        requirement.arrivedAt = this->clock.bootNow();
        if (ownCommit)
            requirement.ownCommit = *ownCommit;
        PrimaryDecision decision = this->state.decidePrimary(this->group);
        return this->state.planRead(
                              requirement, decision, [this](const UpstreamEntry& upstream) { return this->state.findSource(upstream.id); }, nullptr)
            .required;
    }

    GroupId group { "g" };
    UpstreamId primary { "u2" };
    ManualClock clock;
    EventLoop loop;
    LineProtocol protocol;
    TrafficState state;

private:
    void onUpstreamUnreachable(const UpstreamEntry&, UpstreamConnection::LossCause) override { }
};

} // namespace

TEST_GROUP(RestoredRecord)
{
    StartedInstance instance;
};

// An instance that started after the store was restored learns the last failover late. Guards against a log head of the
// new primary that is lowered to the head at its promotion but keeps its time, so that stale replicas pass for fresh.
TEST(RestoredRecord, verifiedHeadOfNewPrimaryIsNotLoweredWhenItsFailoverIsLearnt)
{
    LogPoint head { Term(2), Position(19) };
    instance.state.addVerifiedHead(instance.group, { instance.primary, 0 }, head, instance.clock.bootNow());
    CHECK(instance.findRequired(Consistency::BoundedStaleness, std::nullopt) == head);
    instance.learnFailover();
    CHECK(instance.findRequired(Consistency::BoundedStaleness, std::nullopt) == head);
}

// The same for a session's own commit. Guards against reads that miss it once the instance learns the failover before it.
TEST(RestoredRecord, ownCommitAtNewPrimaryIsNotLoweredWhenItsFailoverIsLearnt)
{
    LogPoint head { Term(2), Position(15) };
    LogPoint commit { Term(2), Position(19) };
    instance.state.addVerifiedHead(instance.group, { instance.primary, 0 }, head, instance.clock.bootNow());
    instance.learnFailover();
    CHECK(instance.findRequired(Consistency::ReadYourWrites, commit) == commit);
    // What the failover lost is not required.
    LogPoint lost { Term(1), Position(9) };
    CHECK(instance.findRequired(Consistency::ReadYourWrites, lost) == head);
}
