#include "../../tools/lab/LoadGenerator.h"

#include <csignal>
#include <filesystem>
#include <functional>
#include <httplib.h>
#include <thread>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;
using namespace lentiljunction::lab;

namespace {

constexpr std::chrono::seconds testTimeout { 30 };

/// A cluster with a folder of its own, which the destructor removes.
class Bench {
public:
    explicit Bench(SitePlan site = makeDemoSite())
        : folder((std::filesystem::temp_directory_path() / ("lj-process-" + std::to_string(::getpid()) + "-" + std::to_string(nextNumber++))).string())
        , cluster(std::move(site), ".", this->folder)
    {
    }

    ~Bench() { std::filesystem::remove_all(this->folder); }
    Bench(const Bench&) = delete;
    Bench& operator=(const Bench&) = delete;

    void start()
    {
        Failure failure;
        if (!this->cluster.start(failure))
            FAIL(failure.reason.c_str());
    }

    InstanceNode& findInstance(const std::string& id)
    {
        for (InstanceNode& node : this->cluster.getInstances()) {
            if (node.id == id)
                return node;
        }
        return this->cluster.getInstances().front();
    }

    static inline int nextNumber = 0;
    std::string folder;
    Cluster cluster;
};

bool waitFor(const std::function<bool()>& condition)
{
    std::chrono::steady_clock::time_point giveUpAt = std::chrono::steady_clock::now() + testTimeout;
    while (std::chrono::steady_clock::now() < giveUpAt) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

/// Checks that every acknowledged booking exists exactly once, no refused one ran, and each session
/// read its own bookings.
void checkBookings(LoadGenerator& load, const std::string& stream)
{
    BookingCheck check = load.checkBookings();
    CHECK_TEXT(check.isVerified, check.failure.reason.c_str());
    CHECK(check.numAcknowledged > 0);
    CHECK_EQUAL(0, check.numLost);
    CHECK_EQUAL(0, check.numDuplicated);
    CHECK_EQUAL(0, check.numExecutedThoughRefused);
    CHECK_EQUAL(0, load.getResult(stream).numStaleReads);
}

std::vector<StreamPlan> makeBookings()
{
    StreamPlan plan { "bookings", StreamKind::WriteThenRead, Rank::Urgent, 40, 1000 };
    return { plan };
}

/// @returns a site with three zones, so that a majority remains when one zone is lost
SitePlan makeThreeZones()
{
    SitePlan site = makeDemoSite();
    site.zones = { { "west", 1 }, { "east", 1 }, { "north", 1 } };
    return site;
}

/// Runs bookings, injects a fault and heals it while they run, and checks them.
void runUnderFault(Bench& bench, const std::function<void()>& fault, const std::function<void()>& heal)
{
    LoadGenerator load(bench.cluster, makeBookings());
    CHECK(load.prepare());
    load.run(std::chrono::seconds(6), { { std::chrono::seconds(1), fault }, { std::chrono::seconds(4), heal } });
    checkBookings(load, "bookings");
    CHECK_EQUAL(load.getResult("bookings").numArrived, load.getResult("bookings").outcomes.at("completed"));
}

/// Lets an upstream leave while reads run. Three seconds later it must get no more statements, and all
/// reads must complete.
void checkLeaving(Bench& bench, const std::function<void(const UpstreamNode&)>& leave)
{
    UpstreamNode& leaving = bench.cluster.getUpstreams().back();
    StreamPlan reads { "reads", StreamKind::Read, Rank::Normal, 100, 1000 };
    std::uint64_t afterThreeSeconds = 0;
    LoadGenerator load(bench.cluster, { reads });
    load.run(std::chrono::seconds(6), {
                                          { std::chrono::seconds(1), [&] { leave(leaving); } },
                                          { std::chrono::seconds(4), [&] { afterThreeSeconds = bench.cluster.describeUpstream(leaving).at("executed"); } },
                                      });
    CHECK_EQUAL(afterThreeSeconds, bench.cluster.describeUpstream(leaving).at("executed").get<std::uint64_t>());
    CHECK_EQUAL(load.getResult("reads").numArrived, load.getResult("reads").outcomes.at("completed"));
}

} // namespace

TEST_GROUP(Cluster) {};

TEST(Cluster, replacesCrashedPrimaryWhileStoreIsDown)
{
    Bench bench(makeThreeZones());
    bench.start();
    runUnderFault(
        bench, [&] {
            bench.cluster.postControl(bench.cluster.getStorePort(), { { "down", true } });
            bench.cluster.findPrimary("db-a")->process->signal(SIGKILL); }, [] {});
}

TEST(Cluster, losesNoAcknowledgedWriteWhenPrimaryZoneIsCutOff)
{
    Bench bench(makeThreeZones());
    bench.start();
    runUnderFault(
        bench, [&] { bench.cluster.cutZones({ bench.cluster.findPrimary("db-a")->zone }); }, [&] { bench.cluster.cutZones({}); });
}

TEST(Cluster, losesNoAcknowledgedWriteWhenFrozenPrimaryResumes)
{
    Bench bench(makeThreeZones());
    bench.start();
    UpstreamNode* primary = nullptr;
    runUnderFault(
        bench, [&] {
            primary = bench.cluster.findPrimary("db-a");
            primary->process->signal(SIGSTOP); }, [&] { primary->process->signal(SIGCONT); });
}

TEST(Cluster, runsNoWriteTwiceWhenPausedInstanceResumes)
{
    Bench bench(makeThreeZones());
    bench.start();
    InstanceNode& paused = bench.cluster.getInstances().front();
    runUnderFault(
        bench, [&] { paused.process->signal(SIGSTOP); }, [&] { paused.process->signal(SIGCONT); });
}

TEST(Cluster, losesAndDoublesNoWriteWhenInstanceIsKilled)
{
    Bench bench(makeThreeZones());
    bench.start();
    InstanceNode& killed = bench.cluster.getInstances().front();
    runUnderFault(
        bench, [&] { killed.process->signal(SIGKILL); }, [&] { bench.cluster.startInstance(killed); });
}

TEST(Cluster, replacesSilentConnections)
{
    Bench bench(makeThreeZones());
    bench.start();
    runUnderFault(
        bench, [&] {
            bench.cluster.postControl(bench.cluster.getNetworkPort(), { { "silence_connections", true } });
            for (UpstreamNode& node : bench.cluster.getUpstreams())
                bench.cluster.postControl(node.controlPort, { { "silence_connections", true } }); }, [] {});
}

TEST(Cluster, resolvesWritesWhoseAnswersWereLost)
{
    Bench bench(makeThreeZones());
    bench.start();
    runUnderFault(
        bench, [&] { bench.cluster.postControl(bench.cluster.findPrimary("db-a")->controlPort, { { "lose_answers", 5 } }); }, [] {});
}

TEST(Cluster, finishesRequestsInFlightOnGracefulStop)
{
    Bench bench;
    bench.start();
    LoadGenerator load(bench.cluster, makeBookings());
    CHECK(load.prepare());
    // A graceful stop must not depend on the store.
    bench.cluster.postControl(bench.cluster.getStorePort(), { { "down", true } });
    InstanceNode& stopping = bench.findInstance("west-1");
    int exitCode = -1;
    load.run(std::chrono::seconds(5), { { std::chrono::seconds(1), [&] {
                                             stopping.process->signal(SIGTERM);
                                             exitCode = stopping.process->wait();
                                         } } });
    CHECK_EQUAL(0, exitCode);
    checkBookings(load, "bookings");
    const StreamResult& result = load.getResult("bookings");
    CHECK_EQUAL(0, result.outcomes.count("read_back/lost"));
    CHECK_EQUAL(0, result.outcomes.count("lost"));
}

TEST(Cluster, sendsNoWorkToLeavingUpstreamAfterThreeSeconds)
{
    Bench bench(makeThreeZones());
    bench.start();
    checkLeaving(bench, [&](const UpstreamNode& leaving) { bench.cluster.postControl(leaving.controlPort, { { "leaving", true } }); });
}

TEST(Cluster, sendsNoWorkToUpstreamListedAsLeavingAfterThreeSeconds)
{
    Bench bench(makeThreeZones());
    bench.start();
    checkLeaving(bench, [&](const UpstreamNode& leaving) {
        Failure failure;
        CHECK(bench.cluster.writeLeavingUpstreams({ leaving.id }, failure));
        // The store goes down only after the zone readers had time to read the list.
        std::this_thread::sleep_for(std::chrono::seconds(1));
        bench.cluster.postControl(bench.cluster.getStorePort(), { { "down", true } });
    });
}

TEST(Cluster, bundleReachesZoneCutOffFromStore)
{
    Bench bench(makeThreeZones());
    bench.start();
    bench.cluster.postControl(bench.cluster.getStorePort(), { { "cut_zones", { "east" } } });
    Failure failure;
    CHECK(bench.cluster.rollBundle(bench.cluster.makeBundle(2), failure));
    CHECK(waitFor([&] { return bench.cluster.getBundleVersion(bench.findInstance("east-1")) == 2; }));
}

TEST(Cluster, takesBundleFromPeersWhenStartedWhileStoreIsDown)
{
    Bench bench;
    bench.start();
    Failure failure;
    CHECK(bench.cluster.rollBundle(bench.cluster.makeBundle(2), failure));
    CHECK(waitFor([&] { return bench.cluster.getBundleVersion(bench.findInstance("west-2")) == 2; }));

    bench.cluster.postControl(bench.cluster.getStorePort(), { { "down", true } });
    InstanceNode& restarted = bench.findInstance("west-1");
    restarted.process->signal(SIGKILL);
    restarted.process->wait();
    bench.cluster.startInstance(restarted);
    CHECK(bench.cluster.waitUntilReady(restarted, testTimeout));
    CHECK_EQUAL(2, bench.cluster.getBundleVersion(restarted));
}

TEST(Cluster, cutOffZoneServesReadsButNoWrites)
{
    Bench bench(makeThreeZones());
    bench.start();
    LoadGenerator load(bench.cluster, makeBookings());
    CHECK(load.prepare());
    std::string isolatedZone = bench.cluster.findPrimary("db-a")->zone == "east" ? "north" : "east";
    bench.cluster.cutZones({ isolatedZone });
    const InstanceNode& inside = bench.findInstance(isolatedZone + "-1");
    nlohmann::json read { { "id", "1" }, { "database", "db-a" }, { "statements", { "SELECT count(*) FROM bookings" } }, { "deadline_ms", 2000 } };
    CHECK(waitFor([&] { return sendRequest(inside, read).value("outcome", "") == "completed"; }));

    nlohmann::json write { { "id", "2" }, { "database", "db-a" }, { "statements", { "INSERT INTO bookings VALUES ('cut', 1)" } }, { "deadline_ms", 2000 } };
    CHECK(sendRequest(inside, write).value("outcome", "") != "completed");
}

TEST(Cluster, closesSurplusConnectionsAfterGatesMoveBack)
{
    // While their zone is cut off, its two instances consider themselves the gates of all upstreams.
    Bench bench(makeSponaSite());
    bench.start();
    LoadGenerator load(bench.cluster, { StreamPlan { "bookings", StreamKind::WriteThenRead, Rank::Urgent, 40, 1000 } });
    CHECK(load.prepare());
    load.run(std::chrono::seconds(9), { { std::chrono::seconds(1), [&] { bench.cluster.cutZones({ "ba" }); } }, { std::chrono::seconds(7), [&] { bench.cluster.cutZones({}); } } });
    checkBookings(load, "bookings");

    // One gate may open 5 of the 16 connections, and three gates have one probe connection each.
    constexpr int maximumConnections = 5 + 3;
    for (const UpstreamNode& node : bench.cluster.getUpstreams())
        CHECK(waitFor([&] { return bench.cluster.describeUpstream(node).value("connections", 100) <= maximumConnections; }));
}

TEST(Cluster, answersInvalidInputWithErrorAndKeepsServing)
{
    Bench bench;
    bench.start();
    httplib::Client client("127.0.0.1", bench.findInstance("west-1").callerPort);
    httplib::Result notJson = client.Post("/v1/execute", "{", "application/json");
    STRCMP_CONTAINS("not JSON", notJson->body.c_str());
    httplib::Result unknownField = client.Post("/v1/execute", "{\"id\":\"9\",\"colour\":1}", "application/json");
    STRCMP_CONTAINS("request.colour", unknownField->body.c_str());
    STRCMP_CONTAINS("\"id\":\"9\"", unknownField->body.c_str());
    httplib::Result oversize = client.Post("/v1/execute", std::string(2 << 20, ' '), "application/json");
    CHECK_EQUAL(413, oversize->status);
    CHECK_EQUAL(404, client.Get("/nowhere")->status);
    CHECK_EQUAL(405, client.Get("/v1/execute")->status);
    CHECK_EQUAL(200, client.Get("/healthz")->status);
    STRCMP_CONTAINS("lentiljunction_requests_total", client.Post("/v1/execute", "{\"id\":\"1\",\"database\":\"x\",\"statements\":[\"SELECT 1\"]}", "application/json") ? client.Get("/metrics")->body.c_str() : "");
}
