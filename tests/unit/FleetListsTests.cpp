#include "../../src/gateway/FleetLists.h"
#include "../support/QueuedFleetStore.h"

#include <functional>
#include <future>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

/// Answers lists as of now with the newest revision, and others with an old one.
class LaggingStore : public QueuedFleetStore {
public:
    void listUpstreams(bool isLinearizable, Callback<std::shared_ptr<const UpstreamList>> callback) override
    {
        std::shared_ptr<UpstreamList> list = std::make_shared<UpstreamList>();
        bool isNew = isLinearizable || !this->isLagging;
        UpstreamEntry entry;
        entry.id = UpstreamId("u1");
        entry.isLeaving = isNew && this->isLeaving;
        list->entries.emplace(entry.id, entry);
        list->revision = isNew ? this->newest : StoreVersion(1);
        callback(std::shared_ptr<const UpstreamList>(list), Failure());
    }

    StoreVersion newest { 1 };
    bool isLagging = false;
    bool isLeaving = false;
};

/// Lists of upstreams on their own loop.
class ListBench : private FleetLists::Listener, private PeerRpc::Listener {
public:
    ListBench()
        : peers(this->loop, this->clock, *this)
        , lists(this->loop, this->clock, this->store, this->peers, *this)
    {
        this->loop.start();
    }

    ~ListBench() override { this->loop.stop(); }

    void run(const std::function<void()>& task)
    {
        std::promise<void> done;
        this->loop.post([&] {
            task();
            done.set_value();
        });
        done.get_future().get();
    }

    SystemClock clock;
    EventLoop loop;
    LaggingStore store;
    PeerRpc peers;
    FleetLists lists;
    /// Whether the upstream was leaving in each list, in order; use it in run().
    std::vector<bool> leaving;

private:
    void onUpstreamList(const std::shared_ptr<const UpstreamList>& list) override { this->leaving.push_back(list->entries.begin()->second.isLeaving); }
    void onMemberList(const std::vector<FleetMember>&) override { }
    void onPeerRequest(const nlohmann::json&, const PeerRpc::Responder&) override { }
    std::optional<BundleVersion> getConfigurationVersion() const override { return std::nullopt; }
    void onConfigurationVersion(BundleVersion, const std::optional<Endpoint>&) override { }
};

} // namespace

TEST_GROUP(FleetLists) {};

// The store's lists were 6 s old for a while, and an upstream that had reported to leave got work until it was gone.
TEST(FleetLists, listThatLacksShownChangesIsReadAgainAsOfNow)
{
    ListBench bench;
    std::vector<bool> leaving;
    bench.run([&] { bench.lists.start(); });
    bench.run([&] {
        BootTime now = bench.clock.bootNow();
        for (std::uint64_t number = 0; number < 4; number++)
            bench.lists.onRevision(StoreVersion(1 + number * 10), StoreEra(), now - std::chrono::seconds(6 - number));
        bench.store.newest = StoreVersion(31);
        bench.store.isLagging = true;
        bench.store.isLeaving = true;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    bench.run([&] { leaving = bench.leaving; });
    CHECK(leaving.size() >= 2);
    CHECK_FALSE(leaving.front());
    CHECK_TRUE(leaving.back());
}

TEST_GROUP(RevisionHistory)
{
    ManualClock clock;
    RevisionHistory history;
};

TEST(RevisionHistory, responseIsAsOldAsTheFirstRevisionThatItLacks)
{
    BootTime start = clock.bootNow();
    for (std::uint64_t number = 1; number <= 5; number++)
        history.onRevision(StoreVersion(number * 10), StoreEra(1), start + std::chrono::seconds(number));
    BootTime sentAt = start + std::chrono::seconds(6);
    CHECK(history.findCurrentAt(StoreVersion(50), StoreEra(1), sentAt) == sentAt);
    CHECK(history.findCurrentAt(StoreVersion(25), StoreEra(1), sentAt) == start + std::chrono::seconds(2));
    CHECK(history.findCurrentAt(StoreVersion(5), StoreEra(1), sentAt) == BootTime());
    // A revision that was named after the call was sent may not have existed before.
    CHECK(history.findCurrentAt(StoreVersion(45), StoreEra(1), start + std::chrono::milliseconds(4500)) == start + std::chrono::milliseconds(4500));
    // A restored store issues revisions again.
    CHECK(history.findCurrentAt(StoreVersion(5), StoreEra(2), sentAt) == sentAt);
    history.onRevision(StoreVersion(5), StoreEra(2), sentAt);
    CHECK(history.findCurrentAt(StoreVersion(5), StoreEra(2), sentAt) == sentAt);
}
