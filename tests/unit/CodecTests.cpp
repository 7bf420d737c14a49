#include "../support/RandomJson.h"
#include "lentiljunction/caller/RequestCodec.h"
#include "lentiljunction/core/Cbor.h"
#include "lentiljunction/core/JsonFields.h"
#include "lentiljunction/core/Random.h"
#include "lentiljunction/peer/PeerMessage.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;
using tests::generateJson;

namespace {

nlohmann::json makeRequest()
{
    return { { "id", "7" }, { "database", "db-a" }, { "rank", "urgent" }, { "statements", { "INSERT INTO t VALUES (1)" } }, { "idempotency_key", "1764820000000:x" }, { "deadline_ms", 500 } };
}

} // namespace

TEST_GROUP(RequestCodec)
{
    LimitsConfig limits;
    Failure failure;
};

TEST(RequestCodec, reportsNameOfEachInvalidField)
{
    struct Case {
        const char* field;
        nlohmann::json value;
    };
    const std::vector<Case> cases {
        { "id", 7 }, { "database", nullptr }, { "rank", "high" }, { "statements", "SELECT 1" }, { "statements", { "SELECT 1; SELECT 2" } }, { "statements", { "COMMIT" } },
        { "statements", nlohmann::json::array() }, { "idempotency_key", "x" }, { "session", "junk" }, { "deadline_ms", 0 }, { "deadline_ms", 1.5 },
        { "max_staleness_ms", -1 }, { "transaction", { { "action", "commit" } } }, { "colour", "green" }, { "deadline_ms", 18446744073709551615ULL }
    };
    for (const Case& item : cases) {
        nlohmann::json document = makeRequest();
        document[item.field] = item.value;
        CHECK_FALSE(parseRequest(document, limits, failure).has_value());
        STRCMP_CONTAINS((std::string("request.") + item.field).c_str(), failure.reason.c_str());
    }
    CHECK(parseRequest(makeRequest(), limits, failure).has_value());
}

TEST(RequestCodec, arbitraryJsonIsRejectedOrSurvivesRoundTrip)
{
    CHECK(rc::check("requests with random fields", [] {
        nlohmann::json document = makeRequest();
        for (const char* field : { "id", "database", "rank", "statements", "idempotency_key", "session", "deadline_ms", "max_staleness_ms", "transaction" }) {
            int choice = *rc::gen::inRange(0, 4);
            if (choice == 0)
                document[field] = generateJson(2);
            if (choice == 1)
                document.erase(field);
        }
        Failure failure;
        LimitsConfig limits;
        std::optional<Request> request = parseRequest(document, limits, failure);
        RC_ASSERT(request.has_value() || !failure.reason.empty());
        if (request) {
            std::optional<Request> decoded = parseRequest(toJson(*request), limits, failure);
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(toJson(*decoded) == toJson(*request));
        }
    }));
}

TEST(RequestCodec, outcomesSurviveRoundTrip)
{
    ResultSet rows;
    rows.columns = { "a", "b" };
    rows.rows = { { "1", std::nullopt } };
    for (const Outcome& outcome : { Outcome::completed({ rows }), Outcome::rejected("23505", "twice"), Outcome::notRun(NotRunReason::QueueFull, "full"), Outcome::unknown("?") }) {
        std::optional<Outcome> decoded = parseOutcome(toJson(outcome));
        CHECK(decoded.has_value());
        CHECK(toJson(*decoded) == toJson(outcome));
    }
    CHECK_FALSE(parseOutcome({ { "outcome", "perhaps" } }).has_value());
}

TEST_GROUP(PeerCodec)
{
    Failure failure;
};

TEST(PeerCodec, allMessageKindsSurviveRoundTrip)
{
    MembershipMessage membership;
    membership.kind = MembershipMessage::Kind::Sync;
    membership.updates = { { InstanceId("a"), ZoneId("z"), { "127.0.0.1", 9 }, MemberState::Suspect, Incarnation(4) } };
    membership.digests = { { ZoneId("z"), 77 } };
    HopRequest hop;
    hop.hop = 5;
    hop.request = *parseRequest(makeRequest(), LimitsConfig(), failure);
    hop.upstream = UpstreamId("u");
    HopResponse response;
    response.outcome = Outcome::completed({});
    response.point = LogPoint { Term(2), Position(9) };
    response.hint = PrimaryHint { Term(2), UpstreamId("u") };
    std::vector<PeerMessage> messages { membership, hop, response, PrimaryNotice { DatabaseId("d"), { Term(1), UpstreamId("u") } }, ReachabilityRequest { 1, DatabaseId("d"), UpstreamId("u") },
        ReachabilityResponse { 1, true }, BundleNotice { BundleVersion(3) }, BundleRequest { BundleVersion(3), true }, BundleResponse { { { "x", 1 } }, nullptr }, LeavingNotice { { UpstreamId("u") } }, Echo { 4, true } };
    for (const PeerMessage& message : messages) {
        std::optional<PeerMessage> decoded = decodePeerMessage(encodePeerMessage(message), failure);
        CHECK(decoded.has_value());
        CHECK(decoded->index() == message.index());
        CHECK(encodePeerMessage(*decoded) == encodePeerMessage(message));
    }
}

TEST(PeerCodec, corruptMessagesAreDecodedOrRejectedWithReason)
{
    CHECK(rc::check("corrupt messages", [] {
        std::string payload = encodePeerMessage(ReachabilityRequest { 1, DatabaseId("d"), UpstreamId("u") });
        int numChanges = *rc::gen::inRange(1, 6);
        for (int count = 0; count < numChanges; count++)
            payload[static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(payload.size())))] = *rc::gen::arbitrary<char>();
        payload.resize(static_cast<std::size_t>(*rc::gen::inRange<int>(0, static_cast<int>(payload.size()) + 1)));
        Failure failure;
        std::optional<PeerMessage> message = decodePeerMessage(payload, failure);
        RC_ASSERT(message.has_value() || !failure.reason.empty());
    }));
}

TEST_GROUP(Cbor) {};

// A caller or another instance sends an array that declares more elements than fit into memory, on which the library
// throws. Guards against one message that stops the process.
TEST(Cbor, refusesExcessiveLength)
{
    CHECK_TRUE(parseCbor(std::string("\x9b\x6a\x6b\x6c\x6d\x6e\x6f\x70\x71", 9)).is_discarded());
    CHECK_TRUE(parseCbor(std::string("\xbb\xff\xff\xff\xff\xff\xff\xff\xff", 9)).is_discarded());
    Failure failure;
    CHECK_FALSE(decodePeerMessage(std::string("\x9b\x6a\x6b\x6c\x6d\x6e\x6f\x70\x71", 9), failure).has_value());
}

TEST(Cbor, neverThrowsForRandomBytes)
{
    Random random(5);
    for (int count = 0; count < 50000; count++) {
        std::string bytes;
        for (std::uint64_t length = random.below(24); length > 0; length--)
            bytes.push_back(static_cast<char>(random.below(256)));
        parseCbor(bytes);
    }
    nlohmann::json document { { "a", { 1, 2, 3 } }, { "b", "text" } };
    CHECK(parseCbor(toCbor(document)) == document);
}
