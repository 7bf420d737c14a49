#include "../../src/gateway/ListCodec.h"
#include "../../src/gateway/ProofCodec.h"
#include "../support/RandomJson.h"
#include "lentiljunction/caller/RequestCodec.h"
#include "lentiljunction/core/Cbor.h"
#include "lentiljunction/core/Json.h"
#include "lentiljunction/core/JsonSlices.h"
#include "lentiljunction/peer/PeerMessage.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <limits>
#include <stdexcept>

using namespace lentiljunction;

namespace {

/// More levels than the stack of a thread bears when each takes a call.
constexpr std::size_t excessiveNesting = 400000;

std::string repeat(const std::string& text, std::size_t count)
{
    std::string repeated;
    for (std::size_t index = 0; index < count; index++)
        repeated += text;
    return repeated;
}

} // namespace

TEST_GROUP(Json) {};

// Another writer, a caller or a peer sends arrays within arrays. Guards against a document whose copy exceeds the stack.
TEST(Json, refusesExcessiveNesting)
{
    CHECK_TRUE(parseJson(repeat("[", excessiveNesting) + repeat("]", excessiveNesting)).is_discarded());
    CHECK_TRUE(parseJson(repeat(R"({"a":)", excessiveNesting) + "1" + repeat("}", excessiveNesting)).is_discarded());
    CHECK_TRUE(parseJson(repeat("[", excessiveNesting)).is_discarded());
    CHECK_FALSE(parseJson(repeat("[", maximumNesting) + repeat("]", maximumNesting)).is_discarded());
    CHECK_TRUE(parseJson(repeat("[", maximumNesting + 1) + repeat("]", maximumNesting + 1)).is_discarded());
}

// Brackets within texts nest nothing. Guards against a statement that is refused for its text.
TEST(Json, bracketsInTextsAreNotNesting)
{
    std::string text = R"(\"\\[{)" + repeat("[", excessiveNesting);
    nlohmann::json document = parseJson("{\"a\":\"" + text + "\"}");
    CHECK_TRUE(document.is_object());
    LONGS_EQUAL(excessiveNesting + 4, document["a"].get<std::string>().size());
}

// A name with bytes that are no UTF-8, from a peer or an upstream, gets into a document. Guards against an encoder that
// throws for it and ends the process.
TEST(Json, encodesTextsThatAreNotUtf8)
{
    STRCMP_EQUAL("{\"name\":\"a\xEF\xBF\xBD\"}", toJsonText({ { "name", "a\xFF" } }).c_str());
}

// The decoder of the library calls itself once a level, also for a text in chunks. Guards against one message from a
// caller or a peer that exceeds the stack.
TEST(Json, cborRefusesExcessiveNesting)
{
    for (const char* level : { "\x81", "\x9f", "\xa1\x01", "\xbf\x01", "\x7f", "\x5f", "\xc1" })
        CHECK_TRUE(parseCbor(repeat(level, excessiveNesting) + "\x01").is_discarded());
    CHECK_FALSE(parseCbor(repeat("\x81", maximumNesting) + "\x01").is_discarded());
    CHECK_TRUE(parseCbor(repeat("\x81", maximumNesting + 1) + "\x01").is_discarded());
    Failure failure;
    CHECK_FALSE(decodePeerMessage(repeat("\x81", excessiveNesting) + "\x01", failure).has_value());
}

TEST(Json, cborDecodesStructuresOfBothKindsOfLength)
{
    CHECK(parseCbor("\x9f\x01\xa1\x61\x61\x02\xbf\x61\x62\x80\xff\xff") == parseJson(R"([1,{"a":2},{"b":[]}])"));
    CHECK_TRUE(parseCbor("\x9f\x01").is_discarded());
    CHECK_TRUE(parseCbor("\x82\x01").is_discarded());
    CHECK_TRUE(parseCbor("\x01\x01").is_discarded());
    CHECK_TRUE(parseCbor("\xff").is_discarded());
    CHECK_TRUE(parseCbor("").is_discarded());
}

// One element cannot be decoded. Guards against a list that hides the others because of it.
TEST(Json, splitsArrayWhoseElementsCannotBeDecoded)
{
    std::optional<std::vector<std::string_view>> elements = splitJsonArray(" [ {\"a\":\"]}\\\"\"} , \xff\xfe, 1e400 ,[[],{}], \"\xff,\"] ");
    CHECK_TRUE(elements.has_value());
    CHECK(*elements == (std::vector<std::string_view> { "{\"a\":\"]}\\\"\"}", "\xff\xfe", "1e400", "[[],{}]", "\"\xff,\"" }));
    CHECK(splitJsonArray("[]")->empty());
    for (const char* text : { "", "[", "[1", "[1,", "[\"a]", "{}", "[1]]", "[1] 2", "null" })
        CHECK_FALSE(splitJsonArray(text).has_value());
}

TEST(Json, splitsObjectWhoseValuesCannotBeDecoded)
{
    std::optional<std::map<std::string, std::string_view>> members = splitJsonObject(R"({"a":1,"\u0062":{"c":2},"\ud800":3,"a": 4 })");
    CHECK_TRUE(members.has_value());
    CHECK(*members == (std::map<std::string, std::string_view> { { "a", "4" }, { "b", R"({"c":2})" } }));
    CHECK(splitJsonObject("{}")->empty());
    for (const char* text : { "", "{", "{1:2}", "{\"a\"}", "{\"a\":", "{\"a\":1", "[]", "{\"a\":1}}" })
        CHECK_FALSE(splitJsonObject(text).has_value());
}

// The brackets of one element do not match. Guards against elements before it that are hidden, and against bytes within it
// that are taken for an element.
TEST(Json, partsBeforeUnmatchedBracketsAreFound)
{
    JsonPrefix<std::vector<std::string_view>> array = splitJsonArrayPrefix("[1, {\"a\":[2},{\"b\":3}]");
    CHECK_FALSE(array.isComplete);
    CHECK(array.parts == (std::vector<std::string_view> { "1", "{\"a\":[2},{\"b\":3}]" }));
    array = splitJsonArrayPrefix("[1}, 2]");
    CHECK_FALSE(array.isComplete);
    CHECK(array.parts == std::vector<std::string_view> { "1" });
    CHECK_TRUE(splitJsonArrayPrefix("[1]").isComplete);
    JsonPrefix<std::map<std::string, std::string_view>> object = splitJsonObjectPrefix(R"({"meta":{"name":"x"},"spec":"a,"status":null})");
    CHECK_FALSE(object.isComplete);
    CHECK(object.parts.at("meta") == R"({"name":"x"})");
    LONGS_EQUAL(2, object.parts.size());
}

// For valid JSON the parts are those that the decoder finds.
TEST(Json, partsOfValidTextsAreTheirElements)
{
    CHECK(rc::check("any document", [] {
        nlohmann::json document = nlohmann::json::array({ tests::generateJson(3), tests::generateJson(3) });
        std::string text = document.dump(*rc::gen::inRange(-1, 3));
        std::optional<std::vector<std::string_view>> elements = splitJsonArray(text);
        RC_ASSERT(elements.has_value() && elements->size() == 2);
        RC_ASSERT(parseJson(elements->at(0)) == document[0] && parseJson(elements->at(1)) == document[1]);
    }));
}

TEST(Json, numbersOutOfRangeAreRefused)
{
    CHECK_THROWS(std::out_of_range, getPort(70000));
    CHECK_THROWS(std::out_of_range, getPort(0));
    CHECK_THROWS(std::out_of_range, getNumber(1.5, 10));
    CHECK_THROWS(std::out_of_range, getDuration(std::numeric_limits<std::int64_t>::max()));
    CHECK_THROWS(std::out_of_range, getDuration(std::numeric_limits<std::uint64_t>::max()));
    CHECK(getDuration(-5) == Duration(-5));
}

// Lists and proofs are relayed between instances. Guards against one malformed entry that hides the others, and against
// an age that wraps around and makes a proof pass for a future one.
TEST(Json, relayedListsKeepTheirReadableEntries)
{
    UpstreamList list;
    list.entries[UpstreamId("u")] = { UpstreamId("u"), GroupId("g"), { "10.0.0.1", 80 }, ZoneId("z"), 2 };
    nlohmann::json encoded = encodeUpstreamList(list);
    for (const nlohmann::json& odd : std::vector<nlohmann::json> { 7, nlohmann::json::object(), { { "id", "x" }, { "group", "g" }, { "endpoint", { "10.0.0.1", 70000 } }, { "zone", "z" }, { "slots", 2 }, { "leaving", false }, { "claims_primary", true } } })
        encoded.push_back(odd);
    std::optional<UpstreamList> decoded = decodeUpstreamList(encoded);
    CHECK_TRUE(decoded.has_value());
    LONGS_EQUAL(1, decoded->entries.size());
    CHECK_FALSE(decodeUpstreamList(nlohmann::json::array({ 7 })).has_value());
    nlohmann::json members = encodeMemberList({ { InstanceId("a"), ZoneId("z"), { "10.0.0.1", 80 } } });
    members.push_back("odd");
    LONGS_EQUAL(1, decodeMemberList(members)->size());
    nlohmann::json proofs = nlohmann::json::array({ { "g", 1, std::numeric_limits<std::uint64_t>::max(), 3, 4 }, { "g", 1, 2, 3, 4 } });
    LONGS_EQUAL(1, decodeProofs(parseCbor(toCbor(proofs)), BootTime())->size());
}

// Membership updates are relayed as well.
TEST(Json, peerMessageKeepsItsReadableUpdates)
{
    Member member { InstanceId("a"), ZoneId("z"), { "10.0.0.1", 80 }, MemberState::Alive, Incarnation(1) };
    MembershipMessage message;
    message.updates = { member, member };
    nlohmann::json encoded = parseCbor(encodePeerMessage(message));
    encoded[2][3][0][3] = 70000;
    Failure failure;
    std::optional<PeerMessage> decoded = decodePeerMessage(toCbor(encoded), failure);
    CHECK_TRUE(decoded.has_value());
    LONGS_EQUAL(1, std::get<MembershipMessage>(*decoded).updates.size());
}
