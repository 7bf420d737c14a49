#include "../../platform/LineProtocol.h"
#include "../../platform/PlatformCodec.h"
#include "../../src/gateway/ProofCodec.h"
#include "../../src/net/HttpMessage.h"
#include "../support/RandomJson.h"
#include "lentiljunction/leadership/PrimaryRecordCodec.h"
#include "lentiljunction/routes/RelayedRoutes.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <ctime>

using namespace lentiljunction;

namespace {

SessionStatement decodeStatement(const std::string& text)
{
    LineProtocol protocol;
    Failure failure;
    std::string buffer = "QUERY q1 " + text + "\r\n";
    std::size_t numSearched = 0;
    std::optional<CallerMessage> message = protocol.takeCallerMessage(buffer, numSearched, failure);
    CHECK_TRUE(message.has_value());
    return std::get<SessionStatement>(*message);
}

nlohmann::json makeEntry()
{
    return { { "service", "s" }, { "address", "10.1.2.3:80" }, { "zone", "z" }, { "slots", 2 }, { "state", "ready" }, { "db_role", "replica" } };
}

} // namespace

TEST_GROUP(LineProtocol)
{
    LineProtocol protocol;
    Failure failure;
    std::size_t numSearched = 0;

    /// Feeds pieces as they are read from a socket until they are refused.
    ///
    /// @returns the processor time in seconds
    double measureRefusal(const std::string& piece, bool isFromCaller)
    {
        std::clock_t begin = std::clock();
        std::string buffer;
        SessionReply reply;
        bool isComplete = false;
        while (this->failure.kind == Failure::Kind::None) {
            buffer += piece;
            if (isFromCaller)
                CHECK_FALSE(this->protocol.takeCallerMessage(buffer, this->numSearched, this->failure).has_value());
            else
                CHECK_FALSE(this->protocol.takeUpstreamPart(buffer, this->numSearched, reply, isComplete, this->failure));
        }
        return static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    }
};

TEST(LineProtocol, decodesStatementAndKeepsItsText)
{
    SessionStatement execute = decodeStatement("EXEC s1 1a4 some data");
    CHECK(execute.verb == SessionVerb::Execute);
    STRCMP_EQUAL("s1", execute.name.c_str());
    STRCMP_EQUAL("1a4 some data", execute.argument.c_str());
    STRCMP_EQUAL("EXEC s1 1a4 some data", execute.text.c_str());
    CHECK(decodeStatement("BEGIN").mode == AccessMode::Write);
    CHECK(decodeStatement("BEGIN READ").mode == AccessMode::Read);
    CHECK(decodeStatement("PREPARE s WRITE q2c").mode == AccessMode::Write);
    CHECK(decodeStatement("SET a b c").verb == SessionVerb::SetValue);
    CHECK(decodeStatement("WRITE x").verb == SessionVerb::Malformed);
    CHECK(decodeStatement("WAITLSN 1.2 READ x").verb == SessionVerb::Malformed);
}

TEST(LineProtocol, consumesOnlyCompleteMessages)
{
    std::string buffer = "QUERY q1 READ a\r";
    CHECK_FALSE(protocol.takeCallerMessage(buffer, numSearched, failure).has_value());
    CHECK(failure.kind == Failure::Kind::None);
    buffer += "\nTERMI";
    CHECK_TRUE(protocol.takeCallerMessage(buffer, numSearched, failure).has_value());
    STRCMP_EQUAL("TERMI", buffer.c_str());
}

// A caller or an upstream sends 1 MiB of CR, in pieces, before the message is refused. Guards against a message that is
// searched anew for each piece, which keeps the traffic of all others waiting for seconds.
TEST(LineProtocol, longMessageIsSearchedOnce)
{
    constexpr std::size_t pieceSize = 2048;
    for (bool isFromCaller : { true, false }) {
        for (const char* unit : { "\r", "\rx", "\n" }) {
            std::string piece;
            while (piece.size() < pieceSize)
                piece += unit;
            this->failure = Failure();
            this->numSearched = 0;
            CHECK(this->measureRefusal(piece, isFromCaller) < 1);
        }
    }
}

// The end of a message arrives in two pieces, also after earlier messages. Guards against a search that begins after it.
TEST(LineProtocol, findsEndThatArrivesInPieces)
{
    std::string buffer;
    int numMessages = 0;
    for (char letter : std::string("QUERY 1 READ a\r\nQUERY 2 READ \r b\r\r\nTERMINATE\r\n")) {
        buffer += letter;
        if (protocol.takeCallerMessage(buffer, numSearched, failure))
            numMessages++;
    }
    LONGS_EQUAL(3, numMessages);
    CHECK_TRUE(buffer.empty());
}

TEST(LineProtocol, decodesResponsePartByPart)
{
    std::string buffer = "ROW a b\r\nDONE sig\r\nREADY T 3.1209\r\n";
    SessionReply reply;
    bool isComplete = false;
    while (protocol.takeUpstreamPart(buffer, numSearched, reply, isComplete, failure) && !isComplete) { }
    CHECK_TRUE(isComplete);
    STRCMP_EQUAL("a b", reply.rows.getFirst().c_str());
    STRCMP_EQUAL("sig", reply.signature.c_str());
    CHECK(reply.state == TransactionState::Open);
    CHECK(reply.head == (LogPoint { Term(3), Position(1209) }));
    STRCMP_EQUAL("ROW a b\r\nDONE sig\r\nREADY T -\r\n", protocol.encodeReply(reply).c_str());
}

TEST(LineProtocol, unknownErrorCodeDoesNotProveNotRun)
{
    std::string buffer = "ERR STRANGE text\r\n";
    SessionReply reply;
    bool isComplete = false;
    protocol.takeUpstreamPart(buffer, numSearched, reply, isComplete, failure);
    CHECK(reply.code == ReplyCode::Failed);
    CHECK_FALSE(provesNotRun(reply.code));
}

TEST(LineProtocol, proxyCommandsHaveNoId)
{
    UpstreamCommand begin;
    begin.kind = UpstreamCommand::Kind::Begin;
    begin.mode = AccessMode::Read;
    begin.requiredPoint = LogPoint { Term(3), Position(12) };
    STRCMP_EQUAL("QUERY - WAITLSN 3.12 BEGIN READ\r\n", protocol.encodeCommand(begin).c_str());
}

TEST(LineProtocol, decodesStatusRowAndRejectsMalformedOnes)
{
    std::optional<ReplicationStatus> status = protocol.decodeReplicationStatus("replica 3 3.1209 0 12 2 17");
    CHECK_TRUE(status.has_value());
    CHECK_FALSE(status->isPrimary);
    CHECK(status->received == (LogPoint { Term(3), Position(1209) }));
    CHECK_FALSE(protocol.decodeReplicationStatus("leader 3 3.1 0").has_value());
    CHECK_FALSE(protocol.decodeReplicationStatus("").has_value());
}

TEST(LineProtocol, arbitraryBytesNeitherCrashNorLoop)
{
    bool holds = rc::check("any bytes are decoded, kept until complete or rejected", [this](const std::string& bytes) {
        std::string fromCaller = bytes;
        std::string fromUpstream = bytes;
        Failure callerFailure;
        Failure upstreamFailure;
        std::size_t callerSearched = 0;
        std::size_t upstreamSearched = 0;
        std::size_t limit = bytes.size() + 1;
        while (limit-- > 0 && this->protocol.takeCallerMessage(fromCaller, callerSearched, callerFailure)) { }
        SessionReply reply;
        bool isComplete = false;
        limit = bytes.size() + 1;
        while (limit-- > 0 && this->protocol.takeUpstreamPart(fromUpstream, upstreamSearched, reply, isComplete, upstreamFailure)) { }
        RC_ASSERT(fromCaller.size() <= bytes.size());
        this->protocol.decodeReplicationStatus(bytes);
    });
    CHECK_TRUE(holds);
}

TEST(LineProtocol, keywordsInAnyOrderAreDecodedOrRejected)
{
    const std::vector<std::string> words { "QUERY", "STARTUP", "READ", "WRITE", "BEGIN", "EXEC", "PREPARE", "SET", "ERR", "READY", "I", "3.1", "-", " ", "  ", "\r\n", "DONE", "ROW" };
    bool holds = rc::check("lines of known keywords", [&] {
        std::vector<std::string> chosen = *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(words));
        std::string buffer;
        for (const std::string& word : chosen)
            buffer += word + " ";
        Failure callerFailure;
        std::size_t searched = 0;
        std::size_t limit = buffer.size() + 1;
        while (limit-- > 0 && this->protocol.takeCallerMessage(buffer, searched, callerFailure)) { }
        RC_ASSERT(limit < buffer.max_size());
    });
    CHECK_TRUE(holds);
}

TEST_GROUP(PlatformCodec)
{
    Failure failure;
};

TEST(PlatformCodec, rejectsUpstreamEntryWithMissingOrInvalidField)
{
    CHECK_TRUE(decodeUpstreamEntry("u", makeEntry(), failure).has_value());
    for (const char* field : { "service", "address", "zone", "slots", "state", "db_role" }) {
        nlohmann::json missing = makeEntry();
        missing.erase(field);
        CHECK_FALSE(decodeUpstreamEntry("u", missing, failure).has_value());
        nlohmann::json invalid = makeEntry();
        invalid[field] = nlohmann::json::array({ 1 });
        CHECK_FALSE(decodeUpstreamEntry("u", invalid, failure).has_value());
    }
    nlohmann::json unknown = makeEntry();
    unknown["state"] = "dancing";
    CHECK_FALSE(decodeUpstreamEntry("u", unknown, failure).has_value());
    CHECK_FALSE(decodeUpstreamEntry("u", "text", failure).has_value());
}

TEST(PlatformCodec, rejectsConfigurationWithOneInvalidRoute)
{
    nlohmann::json route { { "host", "db" }, { "service", "s" }, { "route_type", "read_your_writes" }, { "timeout_ms", 800.5 }, { "target_latency_ms", 120 }, { "priority", 7 }, { "max_staleness_ms", 2500 } };
    nlohmann::json services = nlohmann::json::array({ { { "name", "s" }, { "max_conns", 16 } } });
    nlohmann::json document { { "version", 7 }, { "routes", { route } }, { "services", services }, { "limits", { { "tx_idle_ms", 3000 } } }, { "new_field", 1 } };
    std::optional<RouteTable> table = decodeRouteTable(document, failure);
    CHECK_TRUE(table.has_value());
    const Route* found = table->find(DatabaseId("db"));
    CHECK(found->consistency == Consistency::ReadYourWrites);
    CHECK(found->rank == Rank::Background);
    CHECK_EQUAL(800500, found->statementTimeout.count());
    CHECK_EQUAL(16, table->groups[GroupId("s")].maximumConnections);
    document["routes"][0]["route_type"] = "eventual";
    CHECK_FALSE(decodeRouteTable(document, failure).has_value());
    STRCMP_CONTAINS("route_type", failure.reason.c_str());
}

// A list that is read half would accept keys or names that the operators did not mean, so it is refused as a whole.
// Guards against a coordinator that does not know that commits of a group wait for replicas.
TEST(PlatformCodec, relaysNumberOfSynchronousReplicas)
{
    Failure failure;
    nlohmann::json document { { "version", 1 }, { "routes", nlohmann::json::array() }, { "services", { { { "name", "s" }, { "max_conns", 8 }, { "sync_replicas", 1 } }, { { "name", "t" }, { "max_conns", 8 } } } } };
    std::optional<RouteTable> table = decodeRouteTable(document, failure);
    CHECK_TRUE(table.has_value());
    std::optional<RouteTable> relayed = decodeRelayedRoutes(encodeRelayedRoutes(*table), failure);
    CHECK_TRUE(relayed.has_value());
    LONGS_EQUAL(1, relayed->groups.at(GroupId("s")).numSynchronousReplicas);
    LONGS_EQUAL(0, relayed->groups.at(GroupId("t")).numSynchronousReplicas);
    document["services"][0]["sync_replicas"] = "1";
    CHECK_FALSE(decodeRouteTable(document, failure).has_value());
}

TEST(PlatformCodec, decodesWorkspacesAndRejectsAmbiguousOnes)
{
    nlohmann::json document = nlohmann::json::parse(R"({"version":7,"routes":[{"host":"db","service":"s","route_type":"primary","timeout_ms":8,"target_latency_ms":1,"priority":0,"public":true}],"services":[]})");
    CHECK_FALSE(decodeRouteTable(document, failure)->workspaces.has_value());
    CHECK_TRUE(decodeRouteTable(document, failure)->routes.begin()->second.isPublic);
    document["tenants"] = nlohmann::json::parse(R"([{"name":"a","api_keys":["k1","k2"],"rate_per_s":2.5,"burst":7,"priority":3},{"name":"b","api_keys":["k3"]}])");
    std::optional<RouteTable> table = decodeRouteTable(document, failure);
    const WorkspaceConfig* found = table->workspaces->find(computeKeyDigest("k2"));
    STRCMP_EQUAL("a", found->name.toString().c_str());
    DOUBLES_EQUAL(2.5, found->ratePerSecond, 0);
    DOUBLES_EQUAL(7, found->burst, 0);
    CHECK_FALSE(table->workspaces->find(WorkspaceId("b"))->hasLimit());
    for (const char* change : { R"({"name":"a b"})", R"({"name":"b"})", R"({"name":""})", R"({"api_keys":["k3"]})", R"({"api_keys":[""]})", R"({"api_keys":"k1"})", R"({"rate_per_s":-1})", R"({"burst":"x"})" }) {
        nlohmann::json invalid = document;
        invalid["tenants"][0].merge_patch(nlohmann::json::parse(change));
        failure = Failure();
        CHECK_FALSE_TEXT(decodeRouteTable(invalid, failure).has_value(), change);
        // Faults are logged, and keys must not be.
        CHECK_TEXT(failure.reason.find("k3") == std::string::npos, failure.reason.c_str());
    }
    document["tenants"] = "none";
    CHECK_FALSE(decodeRouteTable(document, failure).has_value());
}

TEST_GROUP(HttpMessage) {};

TEST(HttpMessage, parsesResponseReceivedByteByByte)
{
    std::string encodedResponse = "HTTP/1.1 409 Conflict\r\nContent-Length: 5\r\n\r\nhello";
    HttpResponseParser reader;
    Failure failure;
    std::string bytes;
    bool isComplete = false;
    for (char piece : encodedResponse) {
        bytes += piece;
        isComplete = reader.consume(bytes, failure);
    }
    CHECK_TRUE(isComplete);
    HttpClientResponse response = reader.releaseResponse();
    CHECK_EQUAL(409, response.status);
    STRCMP_EQUAL("hello", response.body.c_str());
}

// The store, or what stands between, declares a length that is far above the limit. Guards against a response that ends the
// process because memory for all of it is reserved.
TEST(HttpMessage, refusesExcessiveLengthBeforeReservingMemory)
{
    for (const char* length : { "8388609", "99999999999999", "18446744073709551615", "99999999999999999999" }) {
        HttpResponseParser reader;
        Failure failure;
        std::string bytes = std::string("HTTP/1.1 200 OK\r\nContent-Length: ") + length + "\r\n\r\nhello";
        CHECK_FALSE(reader.consume(bytes, failure));
        CHECK(failure.kind == Failure::Kind::InvalidInput);
    }
}

TEST(HttpMessage, rejectsResponseThatIsNotHttp)
{
    HttpResponseParser reader;
    Failure failure;
    std::string bytes = "SSH-2.0-nothing\r\n\r\n";
    CHECK_FALSE(reader.consume(bytes, failure));
    CHECK(failure.kind == Failure::Kind::InvalidInput);
}

TEST(HttpMessage, arbitraryServerBytesNeitherCrashNorLoop)
{
    const std::vector<std::string> parts { "HTTP/1.1 200 OK\r\n", "Content-Length: 5\r\n", "Content-Length: -1\r\n", "Content-Length: 99999999999999999999\r\n", "Transfer-Encoding: chunked\r\n", "\r\n", "5\r\nhello\r\n", "0\r\n\r\n", "ffffffffffffffff\r\n", "hello", ": \r\n" };
    CHECK(rc::check("parts in any order", [&] {
        std::string bytes;
        for (const std::string& part : *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(parts)))
            bytes += part;
        bytes += *rc::gen::arbitrary<std::string>();
        HttpResponseParser reader;
        Failure failure;
        std::size_t before = bytes.size();
        bool isComplete = reader.consume(bytes, failure);
        RC_ASSERT(bytes.size() <= before);
        RC_ASSERT(!isComplete || failure.kind == Failure::Kind::None);
    }));
}

TEST_GROUP(StoredDocuments) {};

// Documents from the store and from other instances may be corrupt at any position. Each is either
// decoded or rejected with a reason, and none crashes the process.
TEST(StoredDocuments, corruptDocumentsAreDecodedOrRejectedWithReason)
{
    const nlohmann::json routes { { "version", 3 }, { "routes", { { { "host", "db" }, { "service", "g" }, { "route_type", "primary" }, { "timeout_ms", 800 }, { "target_latency_ms", 120 }, { "priority", 0 }, { "max_staleness_ms", 100 } } } }, { "services", { { { "name", "g" }, { "max_conns", 8 } } } }, { "tenants", { { { "name", "a" }, { "api_keys", { "k" } }, { "rate_per_s", 3 } } } }, { "limits", { { "tx_idle_ms", 500 } } } };
    const nlohmann::json primaryRecord = nlohmann::json::parse(R"({"holder":"a","epoch":4,"nonce":"n","retired":["b"],"groups":{"g":{"phase":"stable","primary":"u","generation":1,"baseline_term":1,"baseline_position":2,"term":3}}})");
    const nlohmann::json member { { "zone", "z" }, { "peers", "10.0.0.1:80" } };
    Failure failure;
    CHECK_TRUE(decodeRouteTable(routes, failure).has_value());
    CHECK_TRUE(decodePrimaryRecord(primaryRecord, failure).has_value());
    CHECK_TRUE(decodeMember("a", member, failure).has_value());
    CHECK(rc::check("corrupt documents", [&] {
        Failure reasons[5];
        RC_ASSERT(decodeRouteTable(tests::corruptJson(routes), reasons[0]).has_value() || !reasons[0].reason.empty());
        RC_ASSERT(decodePrimaryRecord(tests::corruptJson(primaryRecord), reasons[1]).has_value() || !reasons[1].reason.empty());
        RC_ASSERT(decodeMember("a", tests::corruptJson(member), reasons[2]).has_value() || !reasons[2].reason.empty());
        RC_ASSERT(decodeUpstreamEntry("u", tests::corruptJson(makeEntry()), reasons[3]).has_value() || !reasons[3].reason.empty());
        RC_ASSERT(decodeRelayedRoutes(tests::corruptJson(nlohmann::json { { "version", 1 }, { "routes", nlohmann::json::array() }, { "groups", { { "g", 1 } } }, { "idle_limit_us", 1 } }), reasons[4]).has_value() || !reasons[4].reason.empty());
        decodeProofs(tests::corruptJson(nlohmann::json::array({ { "g", 1, 2, 3, 4 } })), BootTime());
    }));
}

namespace {

constexpr std::size_t mebibyte = 1U << 20;

/// Texts that a field of a message may not be able to carry.
std::vector<std::string> listUnusualFields()
{
    return { "", "-", " ", "\r", "\n", std::string(1, '\0'), "a\rb", std::string(mebibyte - 1, 'x'), std::string(mebibyte, 'x') };
}

} // namespace

// A caller's statement without an id was run under the id of the system's own statements. Guards against any field of a message that
// makes a statement one that nobody sent.
TEST(LineProtocol, statementsWithUnusualFieldsKeepTheirIdsOrAreRefused)
{
    for (const std::string& field : listUnusualFields()) {
        for (const std::string& line : { "QUERY " + field + " WRITE b v", "QUERY q1 " + field, "QUERY q1 WRITE " + field + " v", "QUERY q1 WRITE b " + field, "QUERY q1 EXEC " + field + " a", "STARTUP " + field + " key", "STARTUP db " + field }) {
            std::string buffer = line + "\r\n";
            std::size_t searched = 0;
            Failure refusal;
            std::optional<CallerMessage> message = protocol.takeCallerMessage(buffer, searched, refusal);
            const SessionStatement* statement = message ? std::get_if<SessionStatement>(&*message) : nullptr;
            if (statement == nullptr || statement->verb == SessionVerb::Malformed)
                continue;
            STRCMP_EQUAL("q1", statement->id.toString().c_str());
            UpstreamCommand command;
            command.kind = UpstreamCommand::Kind::Forward;
            command.id = statement->id;
            command.argument = statement->text;
            STRCMP_EQUAL((line + "\r\n").c_str(), protocol.encodeCommand(command).c_str());
        }
    }
}

// Guards against a statement of a caller under the id of the system's own ones, whatever decoded it, and against messages that an
// upstream does not accept.
TEST(LineProtocol, commandsThatCannotBeCarriedAreNotEncoded)
{
    UpstreamCommand command;
    command.kind = UpstreamCommand::Kind::Forward;
    command.argument = "WRITE b v";
    for (const char* id : { "", "-", "a b", "a\r\nb" }) {
        command.id = RequestId(id);
        STRCMP_EQUAL("", protocol.encodeCommand(command).c_str());
    }
    command.id = RequestId("q1");
    STRCMP_EQUAL("QUERY q1 WRITE b v\r\n", protocol.encodeCommand(command).c_str());
    command.argument = "";
    STRCMP_EQUAL("", protocol.encodeCommand(command).c_str());
    command.argument = "READ " + std::string(mebibyte, 'x');
    STRCMP_EQUAL("", protocol.encodeCommand(command).c_str());
}
