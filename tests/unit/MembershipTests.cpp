#include "lentiljunction/membership/Membership.h"
#include "lentiljunction/routing/GateMap.h"

#include <functional>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

constexpr Duration tick = std::chrono::milliseconds(50);

/// Simulates instances whose messages are delivered at the next tick, except over cut links.
class Fleet {
public:
    Fleet(int numZones, int perZone)
    {
        std::vector<SeedPeer> seeds;
        for (int zone = 0; zone < numZones; zone++) {
            for (int index = 0; index < perZone; index++)
                seeds.push_back({ InstanceId("i" + std::to_string(zone) + "-" + std::to_string(index)), ZoneId("z" + std::to_string(zone)), { "127.0.0.1", 1 } });
        }
        std::uint64_t seed = 1;
        for (const SeedPeer& peer : seeds) {
            Member self { peer.id, peer.zone, peer.endpoint, MemberState::Alive, Incarnation(1) };
            this->nodes[peer.id] = std::make_unique<Membership>(self, seeds, seed++, this->clock.now());
        }
    }

    void run(Duration time)
    {
        TimePoint end = this->clock.now() + time;
        while (this->clock.now() < end) {
            this->clock.advance(tick);
            std::vector<Envelope> due;
            due.swap(this->messages);
            for (const Envelope& envelope : due)
                this->deliver(envelope);
            for (std::pair<const InstanceId, std::unique_ptr<Membership>>& node : this->nodes) {
                if (this->stopped.count(node.first) == 0)
                    this->send(node.first, node.second->onTick(this->clock.now()));
            }
        }
    }

    void leave(const InstanceId& id) { this->send(id, this->nodes[id]->leave()); }

    /// @returns whether all other running instances know the member in this state
    bool allSee(const InstanceId& id, MemberState state)
    {
        for (std::pair<const InstanceId, std::unique_ptr<Membership>>& node : this->nodes) {
            if (this->stopped.count(node.first) > 0 || node.first == id)
                continue;
            if (node.second->find(id)->state != state)
                return false;
        }
        return true;
    }

    ManualClock clock;
    std::map<InstanceId, std::unique_ptr<Membership>> nodes;
    std::set<InstanceId> stopped;
    std::function<bool(const InstanceId&, const InstanceId&)> isCut = [](const InstanceId&, const InstanceId&) { return false; };
    std::size_t numMessages = 0;

private:
    struct Envelope {
        InstanceId from;
        Membership::Outgoing outgoing;
    };

    void send(const InstanceId& from, const std::vector<Membership::Outgoing>& list)
    {
        for (const Membership::Outgoing& outgoing : list) {
            this->numMessages++;
            if (!this->isCut(from, outgoing.to))
                this->messages.push_back({ from, outgoing });
        }
    }

    void deliver(const Envelope& envelope)
    {
        if (this->stopped.count(envelope.outgoing.to) == 0)
            this->send(envelope.outgoing.to, this->nodes[envelope.outgoing.to]->onMessage(envelope.from, envelope.outgoing.message, this->clock.now()));
    }

    std::vector<Envelope> messages;
};

} // namespace

TEST_GROUP(Membership) {};

TEST(Membership, suspectsNoMemberInHealthyFleet)
{
    Fleet fleet(3, 5);
    fleet.run(std::chrono::seconds(60));
    for (std::pair<const InstanceId, std::unique_ptr<Membership>>& node : fleet.nodes)
        CHECK(fleet.allSee(node.first, MemberState::Alive));
}

TEST(Membership, declaresStoppedInstanceDeadEverywhere)
{
    Fleet fleet(3, 5);
    fleet.run(std::chrono::seconds(5));
    fleet.stopped.insert(InstanceId("i1-2"));
    fleet.run(std::chrono::seconds(20));
    CHECK(fleet.allSee(InstanceId("i1-2"), MemberState::Dead));
}

TEST(Membership, announcesLeavingInstanceImmediately)
{
    Fleet fleet(3, 5);
    fleet.run(std::chrono::seconds(5));
    fleet.leave(InstanceId("i0-0"));
    fleet.run(std::chrono::seconds(2));
    int numKnowing = 0;
    for (std::pair<const InstanceId, std::unique_ptr<Membership>>& node : fleet.nodes)
        numKnowing += node.second->find(InstanceId("i0-0"))->state == MemberState::Leaving ? 1 : 0;
    CHECK(numKnowing >= 9);
    fleet.run(std::chrono::seconds(10));
    CHECK(fleet.allSee(InstanceId("i0-0"), MemberState::Leaving));
}

TEST(Membership, keepsMembersAliveWhenOneLinkIsCut)
{
    Fleet fleet(2, 5);
    fleet.isCut = [](const InstanceId& from, const InstanceId& to) {
        std::set<std::string> pair { from.toString(), to.toString() };
        return pair == std::set<std::string> { "i0-0", "i0-1" };
    };
    fleet.run(std::chrono::seconds(60));
    CHECK(fleet.allSee(InstanceId("i0-0"), MemberState::Alive));
    CHECK(fleet.allSee(InstanceId("i0-1"), MemberState::Alive));
}

TEST(Membership, recoversZoneAfterPartition)
{
    Fleet fleet(3, 4);
    fleet.run(std::chrono::seconds(5));
    fleet.isCut = [](const InstanceId& from, const InstanceId& to) { return from.toString().substr(0, 2) != to.toString().substr(0, 2) && (from.toString()[1] == '2' || to.toString()[1] == '2'); };
    fleet.run(std::chrono::seconds(60));
    CHECK(fleet.nodes[InstanceId("i2-0")]->find(InstanceId("i2-1"))->state == MemberState::Alive);
    CHECK(fleet.nodes[InstanceId("i0-0")]->find(InstanceId("i2-1"))->state == MemberState::Dead);

    fleet.isCut = [](const InstanceId&, const InstanceId&) { return false; };
    fleet.run(std::chrono::seconds(60));
    for (std::pair<const InstanceId, std::unique_ptr<Membership>>& node : fleet.nodes)
        CHECK(fleet.allSee(node.first, MemberState::Alive));
}

TEST(Membership, keepsMessagesPerInstanceConstantAsFleetGrows)
{
    Fleet small(4, 4);
    Fleet large(4, 32);
    small.run(std::chrono::seconds(30));
    large.run(std::chrono::seconds(30));
    small.numMessages = 0;
    large.numMessages = 0;
    small.run(std::chrono::seconds(30));
    large.run(std::chrono::seconds(30));
    CHECK(large.numMessages / 128.0 <= 1.2 * small.numMessages / 16.0);
}

TEST_GROUP(GateMap) {};

TEST(GateMap, movesOnlyGatesOfDeadInstance)
{
    MemberList members;
    for (int index = 0; index < 12; index++)
        members.push_back({ InstanceId("i" + std::to_string(index)), ZoneId(index % 2 == 0 ? "a" : "b"), { "127.0.0.1", 1 }, MemberState::Alive, Incarnation(1) });
    Bundle bundle;
    for (int index = 0; index < 200; index++) {
        DatabaseConfig database;
        database.id = DatabaseId("db" + std::to_string(index));
        database.upstreams.push_back({ UpstreamId("u" + std::to_string(index)), ZoneId(index % 3 == 0 ? "a" : "b"), "127.0.0.1", 1 });
        bundle.databases[database.id] = database;
    }

    GateMap before(members, bundle);
    members[4].state = MemberState::Dead;
    GateMap after(members, bundle);
    int numMoved = 0;
    for (const std::pair<const DatabaseId, DatabaseConfig>& entry : bundle.databases) {
        const UpstreamId& upstream = entry.second.upstreams.front().id;
        InstanceId gate = before.getCandidates(upstream).front();
        if (gate == InstanceId("i4")) {
            numMoved++;
            CHECK(after.getCandidates(upstream).front() == before.getCandidates(upstream)[1]);
        } else {
            CHECK(after.getCandidates(upstream).front() == gate);
        }
    }
    CHECK(numMoved > 0);
    CHECK(numMoved < 40);
}

TEST(GateMap, usesOtherZonesWhenZoneHasNoInstances)
{
    MemberList members { { InstanceId("i1"), ZoneId("a"), { "127.0.0.1", 1 }, MemberState::Alive, Incarnation(1) } };
    Bundle bundle;
    DatabaseConfig database;
    database.id = DatabaseId("db");
    database.upstreams.push_back({ UpstreamId("u"), ZoneId("z"), "127.0.0.1", 1 });
    bundle.databases[database.id] = database;
    GateMap gates(members, bundle);
    CHECK(gates.isGate(InstanceId("i1"), UpstreamId("u")));
}
