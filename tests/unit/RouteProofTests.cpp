#include "lentiljunction/routes/lj_routes.h"

#include <rapidcheck.h>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

constexpr std::chrono::milliseconds lifetime { 2500 };
const RouteSource peer { RouteSource::Kind::OtherInstance, { "10.0.0.1", 1 } };

RouteProof makeReadProof(BootTime sentAt)
{
    return { sentAt, InstanceId("a"), { RouteSource::Kind::StoreRead } };
}

/// A store whose versions are acknowledged one after the other, and instances that read it or ask each other.
class FleetModel {
public:
    void commit() { this->commits.push_back(this->clock.bootNow()); }

    /// An instance reads the store; the response is handled after a delay, in which newer versions may be written.
    void read(std::size_t reader, Duration delay)
    {
        BootTime sentAt = this->clock.bootNow();
        std::uint64_t version = this->commits.size();
        this->clock.advance(delay);
        this->setVersion(reader, version);
        if (this->instances[reader].version == version)
            this->instances[reader].proofs.onProof(makeReadProof(sentAt));
    }

    /// An instance asks another one, which sends its table if that is newer.
    void ask(std::size_t asking, std::size_t asked, Duration delay)
    {
        BootTime sentAt = this->clock.bootNow();
        const Instance& other = this->instances[asked];
        std::uint64_t version = other.version;
        bool vouches = other.proofs.isProven(sentAt) && !other.proofs.getNewer();
        BootTime provenAt = vouches ? other.proofs.getProof()->provenAt : BootTime();
        this->clock.advance(delay);
        this->setVersion(asking, version);
        if (vouches && this->instances[asking].version == version)
            this->instances[asking].proofs.onProof({ provenAt, InstanceId("a"), peer });
    }

    void wait(Duration span) { this->clock.advance(span); }

    /// @returns whether each instance that counts as proven has every version that is older than the lifetime of a proof
    bool isSound() const
    {
        BootTime now = this->clock.bootNow();
        for (const Instance& instance : this->instances) {
            std::uint64_t owed = 0;
            while (owed < this->commits.size() && this->commits[owed] < now - lifetime)
                owed++;
            if (instance.proofs.isProven(now) && instance.version < owed)
                return false;
        }
        return true;
    }

private:
    struct Instance {
        std::uint64_t version = 0;
        RouteProofTracker proofs;
    };

    void setVersion(std::size_t index, std::uint64_t version)
    {
        if (version <= this->instances[index].version)
            return;
        this->instances[index].version = version;
        this->instances[index].proofs.onTableKnown(BundleVersion(version));
    }

    ManualClock clock;
    std::vector<BootTime> commits;
    std::vector<Instance> instances = std::vector<Instance>(4);
};

} // namespace

TEST_GROUP(RouteProof)
{
    ManualClock clock;
    RouteProofTracker proofs;
};

// An instance that cannot reach the store passed on an old version as the newest one.
TEST(RouteProof, noInstanceCountsAsProvenLongerThanItsLastProof)
{
    bool isSound = rc::check("any reads, requests between instances, delays and changes", [] {
        FleetModel fleet;
        for (int step = 0; step < 60; step++) {
            std::size_t first = *rc::gen::inRange<std::size_t>(0, 4);
            std::size_t second = *rc::gen::inRange<std::size_t>(0, 4);
            Duration delay = std::chrono::milliseconds(*rc::gen::inRange(0, 900));
            switch (*rc::gen::inRange(0, 4)) {
            case 0:
                fleet.commit();
                break;
            case 1:
                fleet.read(first, delay);
                break;
            case 2:
                fleet.ask(first, second, delay);
                break;
            default:
                fleet.wait(delay);
            }
            RC_ASSERT(fleet.isSound());
        }
    });
    CHECK_TRUE(isSound);
}

// A malformed message that names a version which nobody has would make every instance of the fleet read the store for ever.
TEST(RouteProof, reportThatStoreRefutesIsForgotten)
{
    proofs.onTableKnown(BundleVersion(8));
    proofs.onProof(makeReadProof(clock.bootNow()));
    clock.advance(std::chrono::milliseconds(1));
    CHECK_TRUE(proofs.onReported(BundleVersion(900), peer, clock.bootNow()));
    CHECK_TRUE(proofs.getOtherInstancesNeededAt() < clock.bootNow() + lifetime);
    proofs.onProof({ clock.bootNow() + lifetime, InstanceId("b"), peer });
    CHECK_TRUE(proofs.getNewer().has_value());
    clock.advance(lifetime * 2);
    proofs.onProof(makeReadProof(clock.bootNow()));
    CHECK_FALSE(proofs.getNewer().has_value());
    CHECK_FALSE(proofs.onReported(BundleVersion(900), peer, clock.bootNow()));
    CHECK_TRUE(proofs.onReported(BundleVersion(9), peer, clock.bootNow()));
}

TEST(RouteProof, newerVersionIsKnownUntilThisInstanceHasIt)
{
    proofs.onTableKnown(BundleVersion(8));
    BootTime first = clock.bootNow();
    CHECK_TRUE(proofs.onReported(BundleVersion(10), peer, first));
    clock.advance(std::chrono::milliseconds(100));
    CHECK_TRUE(proofs.onReported(BundleVersion(14), peer, clock.bootNow()));
    CHECK_FALSE(proofs.onReported(BundleVersion(10), peer, clock.bootNow()));
    CHECK(proofs.getNewer()->knownSince == first);
    proofs.onTableKnown(BundleVersion(10));
    CHECK_TRUE(proofs.getNewer().has_value());
    proofs.onTableKnown(BundleVersion(14));
    CHECK_FALSE(proofs.getNewer().has_value());
}
