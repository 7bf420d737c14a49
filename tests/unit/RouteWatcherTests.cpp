#include "../../src/gateway/RouteWatcher.h"
#include "../support/QueuedFleetStore.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

std::shared_ptr<const RouteTable> makeTable(std::uint64_t version)
{
    std::shared_ptr<RouteTable> table = std::make_shared<RouteTable>();
    table->version = BundleVersion(version);
    return table;
}

/// A route watcher on its own loop, with a store whose calls the test answers.
class RouteWatcherBench : private RouteWatcher::Listener {
public:
    RouteWatcherBench()
        : watcher(this->loop, this->clock, this->store, *this)
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

private:
    void onRoutesInForce(const std::shared_ptr<const RouteTable>&) override { }

    SystemClock clock;
    EventLoop loop;
    QueuedFleetStore store;
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
