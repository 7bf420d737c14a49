#include "lentiljunction/core/Cbor.h"
#include "lentiljunction/core/Random.h"
#include "lentiljunction/routes/RelayedRoutes.h"
#include "lentiljunction/routes/RouteHistory.h"

#include <rapidcheck.h>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

std::shared_ptr<const RouteTable> makeRandomTable(std::uint64_t version)
{
    std::shared_ptr<RouteTable> table = std::make_shared<RouteTable>();
    table->version = BundleVersion(version);
    table->transactionIdleLimit = std::chrono::milliseconds(*rc::gen::inRange(0, 3));
    int numRoutes = *rc::gen::inRange(0, 12);
    for (int index = 0; index < numRoutes; index++) {
        Route route;
        route.database = DatabaseId("database-" + std::to_string(*rc::gen::inRange(0, 12)));
        route.group = GroupId("group-" + std::to_string(*rc::gen::inRange(0, 3)));
        route.consistency = static_cast<Consistency>(*rc::gen::inRange(0, 3));
        route.statementTimeout = std::chrono::milliseconds(*rc::gen::inRange(1, 3));
        route.isPublic = *rc::gen::arbitrary<bool>();
        table->routes[route.database] = route;
        table->groups[route.group] = { *rc::gen::inRange(1, 3), static_cast<std::size_t>(*rc::gen::inRange(0, 2)) };
    }
    if (*rc::gen::arbitrary<bool>())
        table->workspaces.emplace();
    // Keys change their workspaces, and workspaces come and go.
    for (int key = 0; table->workspaces && key < 4; key++) {
        WorkspaceConfig workspace;
        workspace.name = WorkspaceId("workspace-" + std::to_string(*rc::gen::inRange(0, 6)));
        workspace.keys.insert(computeKeyDigest("key-" + std::to_string(key)));
        if (*rc::gen::arbitrary<bool>())
            workspace.ratePerSecond = *rc::gen::inRange(1, 4) / 3.0;
        table->workspaces->add(std::move(workspace));
    }
    return table;
}

/// Does what an instance does with a content of another one.
std::optional<RouteTable> receive(const std::shared_ptr<const RouteTable>& had, const std::string& content)
{
    Failure failure;
    nlohmann::json document = parseCbor(content);
    if (!isRouteDelta(document))
        return decodeRelayedRoutes(document, failure);
    std::optional<RouteDelta> delta = decodeRouteDelta(document, failure);
    return delta ? applyRouteDelta(*had, *delta, failure) : std::nullopt;
}

} // namespace

TEST_GROUP(RouteHistory) {};

// An instance that missed versions must get exactly the newest configuration: routes, groups, keys and limits.
TEST(RouteHistory, contentLeadsFromAnyVersionToTheNewest)
{
    CHECK_TRUE(rc::check([] {
        RouteHistory history;
        std::vector<std::shared_ptr<const RouteTable>> versions;
        int numVersions = *rc::gen::inRange(2, 8);
        for (int version = 1; version <= numVersions; version++) {
            versions.push_back(makeRandomTable(static_cast<std::uint64_t>(version) * 2));
            history.add(versions.back());
        }
        for (const std::shared_ptr<const RouteTable>& had : versions) {
            std::shared_ptr<const std::string> content = history.getContent(had->version);
            RC_ASSERT((content == nullptr) == (had == versions.back()));
            if (content == nullptr)
                continue;
            std::optional<RouteTable> received = receive(had, *content);
            RC_ASSERT(received.has_value());
            RC_ASSERT(encodeRelayedRoutes(*received) == encodeRelayedRoutes(*versions.back()));
        }
    }));
}

// A difference that was computed for other content must not be used: the store may have been restored and may have issued the
// version again.
TEST(RouteHistory, differenceIsRefusedWhereTheContentIsAnother)
{
    std::shared_ptr<RouteTable> older = std::make_shared<RouteTable>();
    older->version = BundleVersion(8);
    Route route;
    route.database = DatabaseId("bookings");
    route.group = GroupId("group-1");
    older->routes[route.database] = route;
    std::shared_ptr<RouteTable> newer = std::make_shared<RouteTable>(*older);
    newer->version = BundleVersion(14);
    newer->transactionIdleLimit = std::chrono::seconds(1);
    RouteDelta delta = computeRouteDelta(*older, *newer, computeRouteTableDigest(*newer));
    Failure failure;
    CHECK_TRUE(applyRouteDelta(*older, delta, failure).has_value());
    older->routes[route.database].group = GroupId("group-2");
    CHECK_FALSE(applyRouteDelta(*older, delta, failure).has_value());
    older->version = BundleVersion(9);
    CHECK_FALSE(applyRouteDelta(*older, delta, failure).has_value());
}

// An instance whose version is not known gets the complete configuration.
TEST(RouteHistory, unknownVersionGetsTheCompleteConfiguration)
{
    RouteHistory history;
    CHECK(history.getContent(std::nullopt) == nullptr);
    std::shared_ptr<RouteTable> table = std::make_shared<RouteTable>();
    table->version = BundleVersion(14);
    history.add(table);
    for (const std::optional<BundleVersion>& have : { std::optional<BundleVersion>(), std::optional<BundleVersion>(BundleVersion(9)) })
        CHECK_FALSE(isRouteDelta(parseCbor(*history.getContent(have))));
}
