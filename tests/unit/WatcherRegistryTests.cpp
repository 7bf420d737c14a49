#include "../support/SampleBundle.h"

#include "lentiljunction/bundle/Bundle.h"
#include "lentiljunction/core/Scheduler.h"
#include "server/WatcherRegistry.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;
using namespace lentiljunction::tests;

namespace {

/// A connection that opens at once and answers nothing.
class SilentConnection : public SqlConnection {
public:
    explicit SilentConnection(int& numConnections)
        : numConnections(numConnections)
    {
        this->numConnections++;
    }

    ~SilentConnection() override { this->numConnections--; }
    SilentConnection(const SilentConnection&) = delete;
    SilentConnection& operator=(const SilentConnection&) = delete;

    void open(Duration, OpenHandler handler) override { handler(true); }
    void execute(const std::string&, Duration, ReplyHandler) override { }
    void close() override { }

private:
    int& numConnections;
};

class CountingConnector : public SqlConnector {
public:
    std::unique_ptr<SqlConnection> create(const UpstreamConfig&) override { return std::make_unique<SilentConnection>(this->numConnections); }

    int numConnections = 0;
};

class IgnoringListener : public GroupWatcher::Listener {
public:
    void onProbed(const DatabaseId&, const UpstreamId&, const UpstreamStatus&, TimePoint) override { }
    void onPrimaryReachable(const DatabaseId&, bool) override { }
    std::size_t requestReachabilityReports(const DatabaseId&, const std::optional<UpstreamId>&) override { return 0; }
    void requestTerms(const DatabaseId&, Term) override { }
    void onPromotionEnded(const DatabaseId&, const PrimaryHint&, const std::string&) override { }
};

Member makeMember(const std::string& id, const std::string& zone)
{
    Member member;
    member.id = InstanceId(id);
    member.zone = ZoneId(zone);
    return member;
}

} // namespace

TEST_GROUP(WatcherRegistry) {};

// A former gate whose group was in use when its gate moved kept its probe connections until the members changed again.
// With several former gates the connections of an upstream ran out.
TEST(WatcherRegistry, formerGateClosesItsProbesOnceItsGroupIsIdle)
{
    Failure failure;
    std::optional<Bundle> bundle = parseBundle(makeSampleBundle(1, { { "operator", createKeyPair() } }, 1, 1), failure);
    CHECK_TRUE(bundle.has_value());
    const DatabaseId database("db-0");
    MemberList members { makeMember("z1-1", "z1"), makeMember("z1-2", "z1"), makeMember("z2-1", "z2"), makeMember("z3-1", "z3") };
    GateMap all(members, *bundle);
    const InstanceId self = all.getCandidates(UpstreamId("db-0-1")).back();

    ManualClock clock;
    ManualScheduler scheduler(clock);
    CountingConnector connector;
    IgnoringListener listener;
    WatcherRegistry registry({ scheduler, clock, connector, listener, self });
    registry.refresh(*bundle, GateMap({ makeMember(self.toString(), "z1") }, *bundle));
    registry.find(database)->setActive();
    registry.onTick();
    CHECK_EQUAL(3, connector.numConnections);

    registry.refresh(*bundle, all);
    registry.onTick();
    CHECK_EQUAL(3, connector.numConnections);
    scheduler.advance(std::chrono::seconds(30));
    registry.onTick();
    CHECK_TRUE(registry.find(database) == nullptr);
    CHECK_EQUAL(0, connector.numConnections);
}

// The watcher of a gate holds reserved terms and must stay while nobody uses its group.
TEST(WatcherRegistry, gateKeepsItsProbesWhileItsGroupIsIdle)
{
    Failure failure;
    std::optional<Bundle> bundle = parseBundle(makeSampleBundle(1, { { "operator", createKeyPair() } }, 1, 1), failure);
    CHECK_TRUE(bundle.has_value());
    ManualClock clock;
    ManualScheduler scheduler(clock);
    CountingConnector connector;
    IgnoringListener listener;
    WatcherRegistry registry({ scheduler, clock, connector, listener, InstanceId("z1-1") });
    registry.refresh(*bundle, GateMap({ makeMember("z1-1", "z1") }, *bundle));
    registry.onTick();
    scheduler.advance(std::chrono::seconds(30));
    registry.onTick();
    CHECK_EQUAL(3, connector.numConnections);
}
