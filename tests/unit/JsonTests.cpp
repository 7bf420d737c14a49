#include "lentiljunction/caller/RequestCodec.h"
#include "lentiljunction/core/Cbor.h"
#include "lentiljunction/core/Json.h"
#include "lentiljunction/peer/PeerMessage.h"

#include <CppUTest/TestHarness.h>

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
