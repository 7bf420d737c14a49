#include "../../src/gateway/RouteWatcher.h"
#include "../support/QueuedFleetStore.h"

#include <functional>
#include <future>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

std::shared_ptr<const RouteTable> makeTable(std::uint64_t version, bool hasWorkspaces = false)
{
    std::shared_ptr<RouteTable> table = std::make_shared<RouteTable>();
    table->version = BundleVersion(version);
    if (hasWorkspaces)
        table->workspaces.emplace();
    return table;
}

/// A route watcher on its own loop, with a store whose calls the test answers.
class RouteWatcherBench : private RouteWatcher::Listener {
public:
    RouteWatcherBench()
        : watcher(this->loop, this->clock, this->store, InstanceId("i1"), *this)
    {
        this->loop.start();
        this->loop.post([this] { this->watcher.start(); });
    }

    ~RouteWatcherBench() override { this->loop.stop(); }

    /// Waits for the next call and answers it on the loop.
    void answer(const std::optional<VersionedRoutes>& routes)
    {
        QueuedFleetStore::RouteCall call = this->store.takeRouteCall();
        this->loop.post([call, routes] {
            Failure failure;
            if (!routes)
                failure.set(Failure::Kind::Conflict, "the history is gone");
            call.callback(routes, failure);
        });
    }

    /// @returns the revision that the next call watches from, or nothing when it is a read
    std::optional<StoreVersion> getNextPosition() { return this->store.peekRouteCall().watchedFrom; }

    /// Runs a task on the loop and waits until it is done.
    void run(const std::function<void(RouteWatcher&)>& task)
    {
        std::promise<void> done;
        this->loop.post([this, &task, &done] {
            task(this->watcher);
            done.set_value();
        });
        done.get_future().get();
    }

    /// @returns the version that the listener was told of last, zero before the first; call it from run()
    std::uint64_t getVersionInForce() const { return this->versionInForce; }

    /// Waits for the next call, which the test answers in run(), if at all.
    QueuedFleetStore::RouteCall takeCall() { return this->store.takeRouteCall(); }

    QueuedFleetStore& getStore() { return this->store; }

    /// @returns how long keys may be decided, once all answers given so far are processed
    KeyFreshness getKeyFreshness()
    {
        this->store.peekRouteCall();
        std::promise<KeyFreshness> found;
        this->loop.post([this, &found] { found.set_value(this->watcher.getConfirmation()->get()); });
        return found.get_future().get();
    }

private:
    void onRoutesInForce(const std::shared_ptr<const RouteTable>& table) override { this->versionInForce = table->version.value(); }
    void onStoreRevision(StoreVersion, StoreEra, BootTime) override { }

    SystemClock clock;
    EventLoop loop;
    QueuedFleetStore store;
    std::uint64_t versionInForce = 0;
    RouteWatcher watcher;
};

} // namespace

TEST_GROUP(RouteWatcher) {};

// A watch from a revision that the restored store has not issued yet skips the changes written before it is.
TEST(RouteWatcher, watchContinuesFromRevisionOfRestoredStore)
{
    RouteWatcherBench bench;
    bench.answer(VersionedRoutes { makeTable(1), StoreVersion(30), StoreEra(1) });
    bench.answer(std::nullopt);
    CHECK_FALSE(bench.getNextPosition().has_value());
    bench.answer(VersionedRoutes { makeTable(1), StoreVersion(20), StoreEra(2) });
    CHECK_EQUAL(20, bench.getNextPosition().value().value());
}

// The restored store may have issued the revision again by the time of the watch, which then skips other changes.
TEST(RouteWatcher, routesAreReadWhenWatchIsAnsweredInNewerEra)
{
    RouteWatcherBench bench;
    bench.answer(VersionedRoutes { makeTable(1), StoreVersion(30), StoreEra(1) });
    bench.answer(VersionedRoutes { nullptr, StoreVersion(31), StoreEra(2) });
    CHECK_FALSE(bench.getNextPosition().has_value());
}

// The process may have been frozen before it processed the answer of a read, so the answer proves the configuration only
// for the time at which the read was sent. A watch proves nothing: it may have missed a change.
TEST(RouteWatcher, onlyReadsProveConfigurationFromTheirSending)
{
    RouteWatcherBench bench;
    BootTime startedAt = BootClock::now();
    bench.getNextPosition();
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    BootTime answeredAt = BootClock::now();
    bench.answer(VersionedRoutes { makeTable(1, true), StoreVersion(1), StoreEra(1) });
    KeyFreshness afterRead = bench.getKeyFreshness();
    CHECK(afterRead.currentUntil >= startedAt - std::chrono::seconds(1) + std::chrono::milliseconds(2500));
    CHECK(afterRead.currentUntil < answeredAt + std::chrono::milliseconds(2500));
    bench.answer(VersionedRoutes { nullptr, StoreVersion(1), StoreEra(1) });
    KeyFreshness afterWatch = bench.getKeyFreshness();
    CHECK(afterWatch.currentUntil == afterRead.currentUntil);
}

// Removed keys are refused in time only with proofs that are more recent than other changes need.
TEST(RouteWatcher, readsAreMoreFrequentWithWorkspaces)
{
    for (bool hasWorkspaces : { false, true }) {
        RouteWatcherBench bench;
        bench.answer(VersionedRoutes { makeTable(1, hasWorkspaces), StoreVersion(1), StoreEra(1) });
        CHECK_TRUE(bench.getNextPosition().has_value());
        bench.takeCall();
        std::chrono::steady_clock::time_point waitedFrom = std::chrono::steady_clock::now();
        CHECK_FALSE(bench.getNextPosition().has_value());
        CHECK(std::chrono::steady_clock::now() - waitedFrom < (hasWorkspaces ? std::chrono::milliseconds(1000) : std::chrono::milliseconds(2000)));
    }
}

// A configuration that cannot be decoded may be a newer one, so it does not confirm the older one.
TEST(RouteWatcher, invalidConfigurationProvesNothing)
{
    RouteWatcherBench bench;
    bench.answer(VersionedRoutes { makeTable(1), StoreVersion(1), StoreEra(1) });
    CHECK_TRUE(bench.getNextPosition().has_value());
    bench.takeCall();
    CHECK_FALSE(bench.getNextPosition().has_value());
    std::optional<RouteProof> before;
    bench.run([&](RouteWatcher& watcher) { before = watcher.getProof(); });
    VersionedRoutes invalid { nullptr, StoreVersion(2), StoreEra(1) };
    invalid.isInvalid = true;
    bench.answer(invalid);
    std::optional<RouteProof> after;
    bench.run([&](RouteWatcher& watcher) { after = watcher.getProof(); });
    CHECK(after->provenAt == before->provenAt);
}

// The freshness that a lost reader had reported kept the instances of its zone from asking the store for two seconds.
TEST(RouteWatcher, storeIsReadAtOnceWhenZoneReaderIsLost)
{
    RouteWatcherBench bench;
    bench.answer(VersionedRoutes { makeTable(8), StoreVersion(10), StoreEra(1) });
    CHECK_TRUE(bench.getNextPosition().has_value());
    bench.takeCall();
    std::chrono::steady_clock::time_point lostAt;
    bench.run([&](RouteWatcher& watcher) {
        watcher.onRelayedFreshness({ BundleVersion(8), Duration(0) }, { "10.0.0.1", 1 }, BootClock::now());
        watcher.onZoneReaderLost();
        lostAt = std::chrono::steady_clock::now();
    });
    CHECK_FALSE(bench.getNextPosition().has_value());
    CHECK(std::chrono::steady_clock::now() - lostAt < std::chrono::milliseconds(500));
}

// Two or three slow answers of the store, each given up, were longer than the time in which a change must be in force.
TEST(RouteWatcher, slowReadIsRepeatedAndItsAnswerStillCounts)
{
    RouteWatcherBench bench;
    QueuedFleetStore::RouteCall slow = bench.takeCall();
    CHECK_FALSE(bench.getNextPosition().has_value());
    BootTime answeredAt = BootClock::now();
    std::optional<RouteProof> proof;
    std::uint64_t version = 0;
    bench.run([&](RouteWatcher& watcher) {
        slow.callback(VersionedRoutes { makeTable(8), StoreVersion(10), StoreEra(1) }, Failure());
        proof = watcher.getProof();
        version = bench.getVersionInForce();
    });
    CHECK_EQUAL(8, version);
    CHECK(proof->provenAt < answeredAt - std::chrono::milliseconds(500));
}

// A large configuration took longer over a thin link than a read was waited for. The next read began beside the first one, and
// none of them ended.
TEST(RouteWatcher, readThatIsBeingReceivedIsNotRepeatedBesideItself)
{
    RouteWatcherBench bench;
    QueuedFleetStore::RouteCall slow = bench.takeCall();
    constexpr int numParts = 20;
    for (int part = 0; part < numParts; part++) {
        bench.getStore().receiveRouteBytes(1000);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        CHECK_FALSE(bench.getStore().hasRouteCall());
    }
    // Nothing arrives any more.
    CHECK_FALSE(bench.getNextPosition().has_value());
}

// While the store is away and no instance has a proof, an instance that starts serves by the newest table that others have.
TEST(RouteWatcher, unprovenTableComesIntoForceWhenNothingCanProveIt)
{
    RouteWatcherBench bench;
    RouteSource other { RouteSource::Kind::OtherInstance, { "10.0.0.1", 1 } };
    bench.answer(std::nullopt);
    bench.getNextPosition();
    std::uint64_t afterOffer = 0;
    std::uint64_t afterFirstRound = 0;
    std::uint64_t afterSecondRound = 0;
    bench.run([&](RouteWatcher& watcher) {
        watcher.offer(makeTable(8), other);
        watcher.offer(makeTable(14), other);
        afterOffer = bench.getVersionInForce();
        watcher.onOtherInstancesAsked();
        afterFirstRound = bench.getVersionInForce();
        watcher.onOtherInstancesAsked();
        afterSecondRound = bench.getVersionInForce();
    });
    CHECK_EQUAL(0, afterOffer);
    CHECK_EQUAL(0, afterFirstRound);
    CHECK_EQUAL(14, afterSecondRound);
}

// A watch may end empty although it missed a change, and the next one continues after it. If watches succeed for ever, no
// read shows the change.
TEST(RouteWatcher, changeThatWatchMissedIsRead)
{
    RouteWatcherBench bench;
    bench.answer(VersionedRoutes { makeTable(8), StoreVersion(10), StoreEra(1) });
    int numWatches = 0;
    while (numWatches < 4 && bench.getNextPosition()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        bench.answer(VersionedRoutes { nullptr, StoreVersion(11), StoreEra(1) });
        numWatches++;
    }
    CHECK_TRUE(numWatches < 4);
}

// An instance that was cut off and survives the others hands its old table to all that start.
TEST(RouteWatcher, tableOfOtherInstanceIsNotInForceBeforeItIsProven)
{
    RouteWatcherBench bench;
    RouteSource other { RouteSource::Kind::OtherInstance, { "10.0.0.1", 1 } };
    std::uint64_t versionWithoutProof = 0;
    bench.run([&](RouteWatcher& watcher) {
        watcher.offer(makeTable(8), other);
        versionWithoutProof = bench.getVersionInForce();
    });
    CHECK_EQUAL(0, versionWithoutProof);
    bench.answer(VersionedRoutes { makeTable(14), StoreVersion(10), StoreEra(1) });
    bench.getNextPosition();
    std::uint64_t version = 0;
    bench.run([&](RouteWatcher&) { version = bench.getVersionInForce(); });
    CHECK_EQUAL(14, version);
}

// An instance that is behind reports its version as confirmed. One that has a newer version must not take that for a proof
// of its own and stop to ask the store.
TEST(RouteWatcher, instanceWithOlderVersionProvesNothing)
{
    RouteWatcherBench bench;
    bench.answer(VersionedRoutes { makeTable(14), StoreVersion(10), StoreEra(1) });
    bench.getNextPosition();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    BootTime now = BootClock::now();
    std::optional<RouteProof> proof;
    bench.run([&](RouteWatcher& watcher) {
        watcher.onRelayedFreshness({ BundleVersion(8), Duration(0) }, { "10.0.0.1", 1 }, now);
        proof = watcher.getProof();
    });
    CHECK(proof->provenAt < now);
}

// The transfer of a newer table may fail for seconds. Until it is done, the older one must not be passed on as the newest.
TEST(RouteWatcher, instanceThatKnowsOfNewerVersionDoesNotVouchForItsOwn)
{
    RouteWatcherBench bench;
    bench.answer(VersionedRoutes { makeTable(8), StoreVersion(10), StoreEra(1) });
    bench.getNextPosition();
    bool vouchedBefore = false;
    bool vouchesAfter = true;
    bench.run([&](RouteWatcher& watcher) {
        vouchedBefore = watcher.getFreshness().has_value();
        watcher.onRelayedFreshness({ BundleVersion(14), Duration(0) }, { "10.0.0.1", 1 }, BootClock::now());
        vouchesAfter = watcher.getFreshness().has_value();
    });
    CHECK_TRUE(vouchedBefore);
    CHECK_FALSE(vouchesAfter);
}
