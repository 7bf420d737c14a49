#include "lentiljunction/routes/lj_routes.h"

#include <array>
#include <deque>
#include <functional>
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

constexpr std::chrono::seconds keyLimit { 5 };
constexpr std::chrono::seconds refusedLimit { 20 };
constexpr std::chrono::milliseconds tick { 100 };
constexpr int numKeys = 4;
constexpr int numInstances = 3;

KeyDigest makeKey(int number)
{
    return computeKeyDigest("key-" + std::to_string(number));
}

WorkspaceId makeName(int number)
{
    return WorkspaceId("w" + std::to_string(number));
}

/// The versions that a store acknowledged. Each gives every key to one of two workspaces or to none.
class VersionHistory {
public:
    void add(BootTime now)
    {
        std::shared_ptr<RouteTable> table = std::make_shared<RouteTable>();
        table->version = BundleVersion(this->versions.size() + 1);
        table->workspaces.emplace();
        std::map<WorkspaceId, std::set<KeyDigest>> keys { { makeName(0), {} }, { makeName(1), {} } };
        for (int key = 0; key < numKeys; key++) {
            int holder = *rc::gen::inRange(0, 3);
            if (holder < 2)
                keys[makeName(holder)].insert(makeKey(key));
        }
        for (const std::pair<const WorkspaceId, std::set<KeyDigest>>& workspace : keys)
            table->workspaces->add({ workspace.first, workspace.second });
        this->versions.push_back({ now, table });
    }

    const std::shared_ptr<const RouteTable>& getNewest() const { return this->versions.back().second; }

    /// @returns whether a key belonged to a workspace, or to none if the name is empty, at any time in a range
    bool held(const KeyDigest& key, const WorkspaceId& workspace, BootTime from, BootTime until) const
    {
        for (std::size_t index = 0; index < this->versions.size(); index++) {
            bool isReplacedBefore = index + 1 < this->versions.size() && this->versions[index + 1].first < from;
            if (isReplacedBefore || this->versions[index].first > until)
                continue;
            const WorkspaceConfig* holder = this->versions[index].second->workspaces->find(key);
            if ((holder == nullptr ? WorkspaceId() : holder->name) == workspace)
                return true;
        }
        return false;
    }

private:
    std::vector<std::pair<BootTime, std::shared_ptr<const RouteTable>>> versions;
};

/// What one instance knows. Its control thread and its traffic thread process their messages in order, and pause.
struct Instance {
    ActiveRoutes routes;
    KeyFreshnessTracker freshness;
    std::optional<BootTime> confirmedAt;
    std::deque<std::function<void()>> control;
    std::deque<std::function<void()>> traffic;
    std::shared_ptr<const RouteTable> trafficTable;
    std::shared_ptr<const RouteConfirmation> trafficConfirmation;
    bool isRefused = false;

    void onResponse(const std::shared_ptr<const RouteTable>& table, BootTime sentAt)
    {
        if (this->routes.offer(table)) {
            std::shared_ptr<const RouteConfirmation> confirmation = this->freshness.onTableInForce();
            this->traffic.push_back([this, table, confirmation] {
                this->trafficTable = table;
                this->trafficConfirmation = confirmation;
            });
        }
        this->confirmedAt = std::max(this->confirmedAt.value_or(sentAt), sentAt);
        this->freshness.onCurrentAt(sentAt);
    }
};

/// Instances that read a store and each other with delays and pauses, and callers that use every key.
class KeyModel {
public:
    KeyModel() { this->history.add(this->clock.bootNow()); }

    void run()
    {
        for (int step = 0; step < 150; step++) {
            Instance& instance = this->instances[static_cast<std::size_t>(*rc::gen::inRange(0, numInstances))];
            int action = *rc::gen::inRange(0, 12);
            if (action == 0)
                this->history.add(this->clock.bootNow());
            else if (action < 5)
                this->callStore(instance);
            else if (action < 7)
                this->askPeer(instance, this->instances[static_cast<std::size_t>(*rc::gen::inRange(0, numInstances))]);
            else if (action < 11)
                this->process(instance);
            else
                this->clock.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 4000)));
            this->clock.advance(tick);
            for (const Instance& checked : this->instances)
                this->check(checked);
        }
    }

    int numAccepted = 0;

private:
    /// The store answers immediately; the response waits until the control thread runs.
    void callStore(Instance& instance)
    {
        BootTime sentAt = this->clock.bootNow();
        int result = *rc::gen::inRange(0, 8);
        if (result == 0)
            return instance.control.push_back([&instance] {
                instance.isRefused = true;
                instance.freshness.onStoreFailed(true);
            });
        if (result == 1)
            return instance.control.push_back([&instance] {
                instance.isRefused = false;
                instance.freshness.onStoreFailed(false);
            });
        instance.control.push_back([&instance, sentAt, table = this->history.getNewest()] {
            instance.isRefused = false;
            instance.onResponse(table, sentAt);
            instance.freshness.onStoreAnswered();
        });
    }

    /// The peer states its confirmation when it answers; the response waits until the control thread runs.
    void askPeer(Instance& instance, Instance& peer)
    {
        BootTime sentAt = this->clock.bootNow();
        peer.control.push_back([this, &instance, &peer, sentAt] {
            if (!peer.confirmedAt || &instance == &peer)
                return;
            Duration age = std::chrono::duration_cast<Duration>(this->clock.bootNow() - *peer.confirmedAt);
            instance.control.push_back([&instance, sentAt, age, table = peer.routes.getTable()] { instance.onResponse(table, sentAt - age); });
        });
    }

    static void process(Instance& instance)
    {
        std::deque<std::function<void()>>& messages = *rc::gen::inRange(0, 2) == 0 ? instance.control : instance.traffic;
        for (int count = *rc::gen::inRange(1, 6); count > 0 && !messages.empty(); count--) {
            std::function<void()> message = std::move(messages.front());
            messages.pop_front();
            message();
        }
    }

    void check(const Instance& instance)
    {
        if (instance.trafficTable == nullptr)
            return;
        BootTime now = this->clock.bootNow();
        BootTime from = now - (instance.isRefused ? refusedLimit : keyLimit);
        for (int number = 0; number < numKeys; number++) {
            KeyDigest key = makeKey(number);
            KeyFreshness freshness = instance.trafficConfirmation->get();
            KeyDecision decision = checkKey(*instance.trafficTable->workspaces, key, false, freshness, now);
            if (decision.verdict == KeyVerdict::Accepted)
                RC_ASSERT(this->history.held(key, decision.workspace, from, now));
            if (decision.verdict == KeyVerdict::Unknown)
                RC_ASSERT(this->history.held(key, WorkspaceId(), now - keyLimit, now));
            for (int workspace = 0; workspace < 2; workspace++) {
                bool isRun = checkRunningKey(*instance.trafficTable->workspaces, key, false, makeName(workspace), freshness, now) == KeyVerdict::Accepted;
                RC_ASSERT(!isRun || this->history.held(key, makeName(workspace), from, now));
            }
            this->numAccepted += decision.verdict == KeyVerdict::Accepted ? 1 : 0;
        }
    }

    ManualClock clock;
    VersionHistory history;
    std::array<Instance, numInstances> instances;
};

KeyFreshness at(const KeyFreshnessTracker& tracker)
{
    return tracker.getConfirmation()->get();
}

} // namespace

TEST_GROUP(KeyFreshness)
{
    KeyFreshnessTracker tracker;
    ManualClock clock;
    BootTime start = this->clock.bootNow();
};

// Guards the limit after which a removed key is refused against delays, pauses of either thread and relayed versions.
TEST(KeyFreshness, noInterleavingAcceptsRemovedKeyOrOtherWorkspace)
{
    int numAccepted = 0;
    CHECK(rc::check("versions in any interleaving", [&] {
        KeyModel model;
        model.run();
        numAccepted += model.numAccepted;
    }));
    CHECK(numAccepted > 1000);
}

// A confirmation of a newer version says nothing about the older one that another thread still has.
TEST(KeyFreshness, confirmationBelongsToItsTable)
{
    std::shared_ptr<const RouteConfirmation> older = this->tracker.onTableInForce();
    this->tracker.onCurrentAt(this->start);
    std::shared_ptr<const RouteConfirmation> newer = this->tracker.onTableInForce();
    CHECK(newer->get().acceptedUntil == older->get().acceptedUntil);
    this->tracker.onCurrentAt(this->start + std::chrono::seconds(1));
    CHECK(newer->get().acceptedUntil > older->get().acceptedUntil);
}

// A key that a newer version removes would stay accepted for 15 s more where the traffic thread is late.
TEST(KeyFreshness, formerTableLosesExtensionOfRefusedInstance)
{
    std::shared_ptr<const RouteConfirmation> former = this->tracker.onTableInForce();
    this->tracker.onCurrentAt(this->start);
    BootTime usual = former->get().acceptedUntil;
    this->tracker.onStoreFailed(true);
    this->tracker.onTableInForce();
    CHECK(former->get().acceptedUntil == usual);
    CHECK(former->get().currentUntil == BootTime::min());
}

TEST(KeyFreshness, refusedInstanceAcceptsKeysForFifteenSecondsLonger)
{
    this->tracker.onTableInForce();
    this->tracker.onCurrentAt(this->start);
    BootTime usual = at(this->tracker).acceptedUntil;
    this->tracker.onStoreFailed(true);
    CHECK(at(this->tracker).acceptedUntil == usual + std::chrono::seconds(15));
    CHECK(at(this->tracker).currentUntil < usual);
    this->tracker.onStoreFailed(false);
    CHECK(at(this->tracker).acceptedUntil == usual);
}

// An outage of the store must not become one of the fleet, but an instance that is cut off must not take its own
// partition for an outage.
TEST(KeyFreshness, keysStayAcceptedWhileEveryZoneReportsThatStoreIsAway)
{
    this->tracker.onTableInForce();
    this->tracker.onCurrentAt(this->start);
    BootTime usual = at(this->tracker).acceptedUntil;
    this->tracker.setZones({ ZoneId("a"), ZoneId("b") });
    this->tracker.onStoreFailed(false);
    this->tracker.onZoneWithoutStore(ZoneId("a"), this->start + std::chrono::seconds(3));
    CHECK(at(this->tracker).acceptedUntil == usual);
    this->tracker.onZoneWithoutStore(ZoneId("b"), this->start + std::chrono::seconds(2));
    CHECK(at(this->tracker).acceptedUntil == usual + std::chrono::seconds(2));
    this->tracker.onStoreAnswered();
    CHECK(at(this->tracker).acceptedUntil == usual);
}
