#include "lentiljunction/workspaces/lj_workspaces.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

const KeyDigest knownKey = computeKeyDigest("known");
const KeyDigest otherKey = computeKeyDigest("other");
const WorkspaceId owner("owner");
const BootTime now = ManualClock().bootNow();
const BootTime later = now + std::chrono::seconds(1);

WorkspaceTable makeTable()
{
    WorkspaceTable table;
    table.add({ owner, { knownKey } });
    table.add({ WorkspaceId("neighbour"), { otherKey } });
    return table;
}

} // namespace

TEST_GROUP(Workspaces) {};

// Another digest than that of the other instances would refuse every key that they relay.
TEST(Workspaces, digestIsFirstHalfOfSha256)
{
    STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223", computeKeyDigest("abc").toString().c_str());
    CHECK_TRUE(parseKeyDigest("ba7816bf8f01cfea414140de5dae2223").has_value());
    for (const char* text : { "", "ba7816bf", "BA7816BF8F01CFEA414140DE5DAE2223", "ba7816bf8f01cfea414140de5dae222x" })
        CHECK_FALSE_TEXT(parseKeyDigest(text).has_value(), text);
}

// With two holders of a key, a statement could run under either one's name.
TEST(Workspaces, tableRefusesKeyOfTwoWorkspaces)
{
    WorkspaceTable table = makeTable();
    CHECK(table.add({ WorkspaceId("third"), { knownKey } }) == WorkspaceTable::Conflict::KeyExists);
    CHECK(table.add({ owner, {} }) == WorkspaceTable::Conflict::NameExists);
    CHECK(table.find(WorkspaceId("third")) == nullptr);
    CHECK(table.find(knownKey)->name == owner);
    CHECK_FALSE(table.find(knownKey)->hasLimit());
}

// Guards each row of the decision table in docs/design/workspaces.md.
TEST(Workspaces, decidesOnKeyByTableAndFreshness)
{
    struct Row {
        KeyDigest key;
        bool isPublic;
        KeyFreshness freshness;
        KeyVerdict expected;
    };
    const KeyDigest unknownKey = computeKeyDigest("unknown");
    const KeyFreshness current { later, later };
    const KeyFreshness unconfirmed { now, later };
    const KeyFreshness outdated { now, now };
    const std::vector<Row> rows {
        { knownKey, false, current, KeyVerdict::Accepted },
        { knownKey, false, unconfirmed, KeyVerdict::Accepted },
        { knownKey, false, outdated, KeyVerdict::Unconfirmed },
        { knownKey, false, KeyFreshness(), KeyVerdict::Unconfirmed },
        { unknownKey, false, current, KeyVerdict::Unknown },
        { unknownKey, false, unconfirmed, KeyVerdict::Unconfirmed },
        { unknownKey, false, outdated, KeyVerdict::Unconfirmed },
        { knownKey, true, current, KeyVerdict::Accepted },
        { knownKey, true, outdated, KeyVerdict::Public },
        { unknownKey, true, current, KeyVerdict::Public },
        { unknownKey, true, KeyFreshness(), KeyVerdict::Public },
    };
    const WorkspaceTable table = makeTable();
    for (std::size_t index = 0; index < rows.size(); index++) {
        KeyDecision decision = checkKey(table, rows[index].key, rows[index].isPublic, rows[index].freshness, now);
        CHECK_TEXT(decision.verdict == rows[index].expected, ("row " + std::to_string(index)).c_str());
        CHECK(decision.workspace == (decision.verdict == KeyVerdict::Accepted ? owner : WorkspaceId()));
    }
}

// A transaction must not go on under the name of a workspace that no longer holds the caller's key.
TEST(Workspaces, runningStatementKeepsItsWorkspace)
{
    const WorkspaceTable table = makeTable();
    const KeyFreshness current { later, later };
    CHECK(checkRunningKey(table, knownKey, false, owner, current, now) == KeyVerdict::Accepted);
    CHECK(checkRunningKey(table, otherKey, false, owner, current, now) == KeyVerdict::Unconfirmed);
    CHECK(checkRunningKey(table, computeKeyDigest("removed"), false, owner, current, now) == KeyVerdict::Unknown);
    CHECK(checkRunningKey(table, computeKeyDigest("removed"), true, owner, current, now) == KeyVerdict::Unknown);
    CHECK(checkRunningKey(table, computeKeyDigest("none"), true, WorkspaceId(), current, now) == KeyVerdict::Public);
    CHECK(checkRunningKey(table, knownKey, true, WorkspaceId(), current, now) == KeyVerdict::Unconfirmed);
}
