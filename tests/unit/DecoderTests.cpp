#include "../../platform/LineProtocol.h"
#include "../../platform/PlatformCodec.h"
#include "../../src/gateway/GatewaySettings.h"
#include "../../src/gateway/ListCodec.h"
#include "../../src/gateway/PieceCodec.h"
#include "../../src/gateway/ProofCodec.h"
#include "../../src/gateway/RouteExplanationCodec.h"
#include "../../src/lending/LendingMessage.h"
#include "../../src/net/HttpMessage.h"
#include "../support/ByteMutator.h"
#include "lentiljunction/bundle/ActiveBundle.h"
#include "lentiljunction/caller/RequestCodec.h"
#include "lentiljunction/core/Cbor.h"
#include "lentiljunction/core/Json.h"
#include "lentiljunction/core/JsonSlices.h"
#include "lentiljunction/leadership/PrimaryRecordCodec.h"
#include "lentiljunction/logbook/LogRecord.h"
#include "lentiljunction/peer/PeerMessage.h"
#include "lentiljunction/quota/QuotaMessage.h"
#include "lentiljunction/routes/RelayedRoutes.h"
#include "lentiljunction/routes/RouteDelta.h"
#include "lentiljunction/session/SessionToken.h"

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <unistd.h>

using namespace lentiljunction;
using tests::ByteMutator;

namespace {

/// Damaged messages for each decoder. LJ_DECODER_MESSAGES and LJ_DECODER_SEED make a longer run of another seed.
constexpr std::uint64_t defaultMessages = 3000;

std::uint64_t readNumber(const char* variable, std::uint64_t fallback)
{
    const char* text = std::getenv(variable);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

/// A decoded value must survive its encoder: what that makes is decoded again, to the same bytes.
template <typename Decoder, typename Encoder>
void checkRoundTrip(const std::string& bytes, Decoder decode, Encoder encode)
{
    auto decoded = decode(bytes);
    if (!decoded)
        return;
    std::string encoded = encode(*decoded);
    auto again = decode(encoded);
    CHECK_TRUE(again.has_value());
    CHECK(encode(*again) == encoded);
}

template <typename Decoder, typename Encoder>
void checkDocument(const nlohmann::json& document, Decoder decode, Encoder encode)
{
    toJsonText(document);
    checkRoundTrip(
        toCbor(document), [&](const std::string& bytes) { return decode(parseCbor(bytes)); }, [&](const auto& value) { return toCbor(encode(value)); });
}

const char* const routesText = R"({"version":3,"routes":[{"host":"db","service":"g","route_type":"read_your_writes","timeout_ms":800,"target_latency_ms":120,"priority":0,"max_staleness_ms":100,"public":true}],"services":[{"name":"g","max_conns":8,"sync_replicas":1}],"tenants":[{"name":"a","api_keys":["k"],"rate_per_s":3,"burst":7}],"limits":{"tx_idle_ms":500}})";
const char* const recordText = R"({"holder":"a","epoch":4,"nonce":"n","retired":["b"],"groups":{"g":{"phase":"stable","primary":"u","generation":1,"baseline_term":1,"baseline_position":2,"term":3,"era":1}},"era":1,"created_in":1})";
const char* const upstreamText = R"({"service":"s","address":"10.1.2.3:80","zone":"z","slots":2,"state":"ready","db_role":"replica","born":1764820000000})";
const char* const memberText = R"({"zone":"z","peers":"10.0.0.1:80","lending":"10.0.0.1:81","quota":"10.0.0.1:82"})";
const char* const listText = R"({"items":[{"meta":{"name":"u1","revision":4},"spec":{"a":[1,"]"]},"status":null},{"meta":{"name":"u2","revision":5},"spec":{},"status":null}],"has_more":false,"at_rev":9})";

std::string makeLendingMessage(LendingMessage::Kind kind)
{
    LendingMessage message;
    message.kind = kind;
    message.loan = 7;
    message.upstream = UpstreamId("u1");
    message.caller = CallerId("driver");
    message.workspace = WorkspaceId("w1");
    message.wait = std::chrono::milliseconds(80);
    message.context.values["zone"] = "a";
    message.context.preparedNames = { "r-x", "w-y" };
    message.latency = std::chrono::milliseconds(2);
    message.load = 0.5;
    message.retryAfter = std::chrono::milliseconds(3);
    message.command = "QUERY 1 READ a\r\n";
    message.reply.rows = { "a", "b" };
    message.reply.signature = "7.1";
    message.reply.head = LogPoint { Term(3), Position(9) };
    return encodeLendingMessage(message);
}

std::string makeQuotaMessage(QuotaMessage::Kind kind)
{
    QuotaMessage message;
    message.kind = kind;
    message.instance = InstanceId("a");
    message.epoch = 5;
    message.time = std::chrono::seconds(9);
    message.numInstances = 3;
    message.partitions = 7;
    message.request = 4;
    message.workspace = WorkspaceId("w");
    return encodeQuotaMessage(message);
}

/// Bytes on a connection of a caller, and on one to an upstream.
void decodeLines(const std::string& bytes)
{
    LineProtocol protocol;
    Failure failure;
    std::string buffer = bytes;
    std::size_t numSearched = 0;
    while (protocol.takeCallerMessage(buffer, numSearched, failure)) { }
    buffer = bytes;
    numSearched = 0;
    SessionReply reply;
    bool isComplete = false;
    while (protocol.takeUpstreamPart(buffer, numSearched, reply, isComplete, failure)) { }
    // What is passed on to the caller is one reply, also when the upstream's was not.
    std::string encoded = protocol.encodeReply(reply);
    SessionReply passedOn;
    numSearched = 0;
    isComplete = false;
    while (!isComplete && protocol.takeUpstreamPart(encoded, numSearched, passedOn, isComplete, failure)) { }
    CHECK_TRUE(isComplete && encoded.empty());
    CHECK(passedOn.isSuccess() == reply.isSuccess() && passedOn.rows.getSize() == (reply.isSuccess() ? reply.rows.getSize() : 0));
    protocol.decodeReplicationStatus(bytes);
}

void decodeHttp(const std::string& bytes)
{
    HttpResponseParser parser;
    Failure failure;
    std::string buffer = bytes;
    if (parser.consume(buffer, failure))
        parser.releaseResponse();
}

void decodeList(const std::string& bytes)
{
    JsonPrefix<std::map<std::string, std::string_view>> members = splitJsonObjectPrefix(bytes);
    for (const std::pair<const std::string, std::string_view>& member : members.parts) {
        for (std::string_view item : splitJsonArrayPrefix(member.second).parts)
            parseJson(item);
    }
    CHECK(members.isComplete == splitJsonObject(bytes).has_value());
}

void decodeBundle(const std::string& bytes)
{
    Failure failure;
    checkDocument(
        parseJson(bytes), [&failure](const nlohmann::json& document) { return parseBundleDelta(document, failure); }, [](const BundleDelta& delta) { return toJson(delta); });
    checkDocument(
        parseJson(bytes), [&failure](const nlohmann::json& document) { return parseSignedBundle(document, failure); }, [](const SignedBundle& bundle) { return toJson(bundle); });
}

void decodeRoutes(const std::string& bytes)
{
    Failure failure;
    std::optional<RouteTable> table = decodeRouteTable(parseJson(bytes), failure);
    CHECK_TRUE(table.has_value() || !failure.reason.empty());
    if (table)
        CHECK_TRUE(decodeRelayedRoutes(parseCbor(toCbor(encodeRelayedRoutes(*table))), failure).has_value());
}

void decodeRelayed(const std::string& bytes)
{
    Failure failure;
    checkDocument(
        parseCbor(bytes), [&failure](const nlohmann::json& document) { return decodeRelayedRoutes(document, failure); }, encodeRelayedRoutes);
    checkDocument(
        parseCbor(bytes), [&failure](const nlohmann::json& document) { return decodeRelayedRoutes(document, failure); }, encodeGroupedRoutes);
    checkDocument(
        parseCbor(bytes), [&failure](const nlohmann::json& document) { return decodeRouteDelta(document, failure); }, encodeRouteDelta);
    decodeRouteFreshness(parseCbor(bytes));
}

void decodePieces(const std::string& bytes)
{
    checkDocument(parseCbor(bytes), decodePieceResponse, encodePieceResponse);
    checkDocument(parseCbor(bytes), decodePieceRequest, [](const PieceRequest& piece) {
        nlohmann::json request = nlohmann::json::object();
        encodePieceRequest(piece, request);
        return request;
    });
}

void decodeLists(const std::string& bytes)
{
    checkDocument(parseCbor(bytes), decodeUpstreamList, encodeUpstreamList);
    checkDocument(parseCbor(bytes), decodeMemberList, encodeMemberList);
    decodeProofs(parseCbor(bytes), BootTime());
}

void decodeStored(const std::string& bytes)
{
    Failure failure;
    nlohmann::json document = parseJson(bytes);
    std::optional<UpstreamEntry> upstream = decodeUpstreamEntry("u", document, failure);
    if (upstream) {
        UpstreamList list;
        list.entries[upstream->id] = *upstream;
        CHECK_TRUE(decodeUpstreamList(parseCbor(toCbor(encodeUpstreamList(list)))).has_value());
    }
    checkDocument(
        document, [&failure](const nlohmann::json& value) { return decodeMember("a", value, failure); }, encodeMember);
    checkDocument(
        document, [&failure](const nlohmann::json& value) { return decodePrimaryRecord(value, failure); }, encodePrimaryRecord);
}

void decodeLending(const std::string& bytes)
{
    checkRoundTrip(bytes, decodeLendingMessage, encodeLendingMessage);
    std::optional<LendingMessage> message = decodeLendingMessage(bytes);
    // Loads are compared, which NaN breaks.
    CHECK_TRUE(!message || std::isfinite(message->load));
}

void decodePeer(const std::string& bytes)
{
    Failure failure;
    checkRoundTrip(
        bytes, [&failure](const std::string& payload) { return decodePeerMessage(payload, failure); }, encodePeerMessage);
}

void decodeRequest(const std::string& bytes)
{
    Failure failure;
    LimitsConfig limits;
    checkDocument(
        parseJson(bytes), [&](const nlohmann::json& document) { return parseRequest(document, limits, failure); }, [](const Request& request) { return toJson(request); });
    checkDocument(parseJson(bytes), parseOutcome, [](const Outcome& outcome) { return toJson(outcome); });
}

void decodeTexts(const std::string& bytes)
{
    Failure failure;
    checkRoundTrip(
        bytes, [&failure](const std::string& text) { return SessionToken::parse(text, failure); }, [](const SessionToken& token) { return token.toString(); });
    parseRouteQuestion("/explain-route?" + bytes, failure);
    std::optional<LogRecord> record = parseLogLine(bytes);
    if (record)
        record->getNumber("number");
}

void decodeSettings(const std::string& bytes)
{
    std::string path = "/tmp/lj-decoder-" + std::to_string(::getpid()) + ".ini";
    std::ofstream(path, std::ios::binary) << bytes;
    Failure failure;
    isGatewayFile(path);
    CHECK_TRUE(loadGatewaySettings(path, failure).has_value() || !failure.reason.empty());
    std::remove(path.c_str());
}

std::string makeDelta(Failure& failure)
{
    RouteTable newer = *decodeRouteTable(parseJson(routesText), failure);
    RouteTable older;
    older.routes[DatabaseId("removed")] = Route();
    older.groups[GroupId("removed")] = GroupConfig();
    return toCbor(encodeRouteDelta(computeRouteDelta(older, newer, computeRouteTableDigest(newer))));
}

} // namespace

TEST_GROUP(Decoders) {
    /// Decodes damaged copies of valid messages. One that ends the process, throws or takes long fails the test.
    void damage(void (*decode)(const std::string&), const std::vector<std::string>& valid) {
        std::uint64_t seed = readNumber("LJ_DECODER_SEED", 1);
std::uint64_t numMessages = readNumber("LJ_DECODER_MESSAGES", defaultMessages);
Random random(seed);
ByteMutator mutator(seed);
for (const std::string& message : valid)
    decode(message);
for (std::uint64_t count = 0; count < numMessages; count++) {
    const std::string& message = valid[random.below(valid.size())];
    decode(mutator.mutate(message, valid[random.below(valid.size())]));
}
}
}
;

// Each of these guards against bytes of others that end the process, or that are taken for a value that does.

TEST(Decoders, lines)
{
    this->damage(decodeLines, { "STARTUP db driver\r\nQUERY q1 EXEC s1 1a4 some data\r\nTERMINATE\r\n", "QUERY q1 PREPARE s WRITE q2c\r\nQUERY 2 SET a b\r\nQUERY 3 BEGIN READ\r\n", "ROW a b\r\nDONE sig\r\nREADY T 3.1209\r\n", "ERR BUSY text\r\nREADY I 1.2\r\n", "replica 3 3.1209 0 12 2 17" });
}

TEST(Decoders, httpResponses)
{
    this->damage(decodeHttp, { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nStore-Era: 1\r\n\r\nhello", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "HTTP/1.1 409 Conflict\r\nConnection: close\r\n\r\n{}" });
}

TEST(Decoders, storeLists)
{
    this->damage(decodeList, { listText, R"({"events":[{"deleted":false,"object":{"meta":{"name":"a","revision":2},"spec":"\u00e9"}}],"at_rev":3})" });
}

TEST(Decoders, storeDocuments)
{
    this->damage(decodeStored, { recordText, upstreamText, memberText });
}

TEST(Decoders, routes)
{
    this->damage(decodeRoutes, { routesText });
}

TEST(Decoders, relayedRoutesAndLists)
{
    Failure failure;
    nlohmann::json answer { { "routes", { { "version", 1 }, { "age_us", 2 } } } };
    this->damage(decodeRelayed, { toCbor(encodeRelayedRoutes(*decodeRouteTable(parseJson(routesText), failure))), toCbor(answer), makeDelta(failure) });
    nlohmann::json request = nlohmann::json::object();
    encodePieceRequest({ { "10.0.0.1", 9 }, ContentId(5), 70 }, request);
    PieceResponse busy { PieceResponse::Kind::Busy, ContentId(), 0, 0, "", std::chrono::milliseconds(3), { { "10.0.0.1", 9 } } };
    this->damage(decodePieces, { toCbor(request), toCbor(encodePieceResponse({ PieceResponse::Kind::Piece, ContentId(5), 3, 8, "bytes" })), toCbor(encodePieceResponse(busy)) });
    UpstreamList list;
    list.entries[UpstreamId("u")] = *decodeUpstreamEntry("u", parseJson(upstreamText), failure);
    nlohmann::json proofs = nlohmann::json::array({ { "g", 1, 2, 3, 4 } });
    this->damage(decodeLists, { toCbor(encodeUpstreamList(list)), toCbor(encodeMemberList({ *decodeMember("a", parseJson(memberText), failure) })), toCbor(proofs) });
}

TEST(Decoders, lendingAndQuota)
{
    std::vector<std::string> loans;
    for (int kind = 0; kind <= static_cast<int>(LendingMessage::Kind::Drop); kind++)
        loans.push_back(makeLendingMessage(static_cast<LendingMessage::Kind>(kind)));
    this->damage(decodeLending, loans);
    std::vector<std::string> quotas;
    for (int kind = 0; kind <= static_cast<int>(QuotaMessage::Kind::Stopping); kind++)
        quotas.push_back(makeQuotaMessage(static_cast<QuotaMessage::Kind>(kind)));
    this->damage([](const std::string& bytes) { checkRoundTrip(bytes, decodeQuotaMessage, encodeQuotaMessage); }, quotas);
}

TEST(Decoders, peerMessages)
{
    MembershipMessage membership;
    membership.updates = { { InstanceId("a"), ZoneId("z"), { "127.0.0.1", 9 }, MemberState::Suspect, Incarnation(4) } };
    membership.digests = { { ZoneId("z"), 77 } };
    HopResponse response;
    response.outcome = Outcome::completed({});
    response.point = LogPoint { Term(2), Position(9) };
    std::vector<std::string> valid;
    for (const PeerMessage& message : std::vector<PeerMessage> { membership, response, PrimaryNotice { DatabaseId("d"), { Term(1), UpstreamId("u") } }, BundleRequest { BundleVersion(3), true }, BundleResponse { { { "x", 1 } }, nullptr }, LeavingNotice { { UpstreamId("u") } }, Echo { 4, true } })
        valid.push_back(encodePeerMessage(message));
    this->damage(decodePeer, valid);
}

TEST(Decoders, requestsAndBundles)
{
    this->damage(decodeRequest, { R"x({"id":"7","database":"db","rank":"urgent","statements":["INSERT INTO t VALUES (1)"],"idempotency_key":"1764820000000:x","deadline_ms":500,"session":"1.db~1~1"})x", toJsonText(toJson(Outcome::rejected("23505", "twice"))) });
    this->damage(decodeBundle, { R"({"from":1,"to":2,"steps":[[{"op":"replace","path":"/version","value":2}]],"approvals":[{"operator":"a","signature":"s","operators_signature":"o"}],"chain":[]})", R"({"text":"{}","approvals":[],"chain":[{"text":"{}","approvals":[]}]})" });
}

TEST(Decoders, settingsTokensAndLogLines)
{
    this->damage(decodeSettings, { "[instance]\nid = a\nzone = z\n[sessions]\nlisten = 127.0.0.1:1\n[ready]\nlisten = 127.0.0.1:2\n[peers]\nlisten = 127.0.0.1:3\nseeds = 127.0.0.1:4,127.0.0.1:5\n[quota]\nwindow_s = 5\noverage = 0.1\n[metrics]\nlisten = 127.0.0.1:6\n[store]\nendpoint = 127.0.0.1:7\n[promotion]\nendpoint = 127.0.0.1:7\n[drain]\ngrace_s = 6\n" });
    this->damage(decodeTexts, { "1.db~1~1.other~2~30", "database=db&statement=read&workspace=w", "2026-06-11T04:13:55.061508Z level=info instance=a event=11 name=x number=4 reason=\"a \"b\" c\"" });
}
