#include "FuzzInput.h"

#include "../../src/lending/LendingMessage.h"
#include "lentiljunction/core/Cbor.h"
#include "lentiljunction/quota/QuotaMessage.h"

namespace lentiljunction::lab {

namespace {

    constexpr std::size_t longFieldBytes = 70000;
    /// More than the line protocol allows for a message.
    constexpr std::size_t longLineBytes = (1U << 20) + 5000;
    constexpr std::uint64_t mostLines = 30;
    constexpr std::uint64_t mostFrames = 12;
    constexpr int longestShortPayload = 125;
    constexpr int extendedLength16 = 126;
    constexpr int extendedLength64 = 127;
    constexpr int byteBits = 8;

    const std::vector<std::string> statements {
        "BEGIN", "BEGIN READ", "COMMIT", "ROLLBACK", "READ fuzz", "WRITE fuzz v", "WRITE fuzz", "SET zone a", "SET zone", "PREPARE s READ q", "PREPARE s WRITE q",
        "PREPARE s", "EXEC s fuzz", "EXEC s fuzz data", "EXEC other fuzz", "DEALLOC s", "DEALLOC", "STATUS", "RESET", "PAUSE 9", "DEMOTE 9", "RESUME", "WAITLSN 9.9 READ fuzz", "", " ", "READ", "READ  fuzz"
    };
    const std::vector<std::string> ids { "q1", "q2", "-", "", " ", "18446744073709551616", "\xff\xfe", "q1\r", "alpha/k/1" };
    const std::vector<std::string> requests {
        "GET /readiness HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET /metrics HTTP/1.1\r\nHost: a\r\nAccept-Encoding: gzip\r\n\r\n",
        "GET /explain-route?database=bookings&key=1 HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET / HTTP/1.0\r\n\r\n",
        "HEAD / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
        "POST /readiness HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 18446744073709551615\r\n\r\nx",
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\nx",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nhello",
        "GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 99\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nUpgrade: h2c\r\nConnection: Upgrade\r\nExpect: 100-continue\r\n\r\n",
        "\x16\x03\x01\x02\x01\x01",
    };

} // namespace

std::string FuzzInput::make()
{
    if (this->protocol == FuzzedProtocol::Lines)
        return this->makeLines();
    if (this->protocol == FuzzedProtocol::Http || this->isOneOf(5))
        return this->makeHttp();
    return this->makeHandshake() + this->makeFrames();
}

std::string FuzzInput::makeLines()
{
    std::string lines = this->isOneOf(10) ? "" : "STARTUP " + this->choose({ "bookings", "checks" }) + " " + this->key + "\r\n";
    for (std::uint64_t count = this->random.below(mostLines); count > 0; count--)
        lines += this->makeLine();
    if (this->isOneOf(40))
        lines += "QUERY q WRITE fuzz " + std::string(longLineBytes, 'x') + "\r\n";
    return this->isOneOf(3) ? this->mutator.mutate(lines, "QUERY q3 EXEC s fuzz data\r\n") : lines;
}

std::string FuzzInput::makeLine()
{
    std::string id = this->isOneOf(100) ? std::string(longFieldBytes, '7') : this->choose(ids);
    std::string line = "QUERY " + id + " " + this->choose(statements) + "\r\n";
    if (this->isOneOf(60))
        return this->choose({ "TERMINATE\r\n", "STARTUP bookings again\r\n", "READY I -\r\n", "\r\n", "\n", "\r" });
    if (this->isOneOf(100))
        return "QUERY q WRITE fuzz " + std::string(longFieldBytes, 'y') + "\r\n";
    return this->isOneOf(20) ? this->mutator.mutate(line, "QUERY q2 READ fuzz\r\n") : line;
}

std::string FuzzInput::makeHttp()
{
    std::string bytes = this->choose(requests);
    if (this->isOneOf(10))
        bytes.insert(bytes.find(' ') == std::string::npos ? 0 : bytes.find(' ') + 1, std::string(longFieldBytes, '/'));
    for (std::uint64_t count = this->random.below(3); count > 0; count--)
        bytes += this->choose(requests);
    return this->isOneOf(4) ? bytes : this->mutator.mutate(bytes, this->choose(requests));
}

std::string FuzzInput::makeHandshake()
{
    const std::vector<std::string> resources { "/peer", "/lending", "/quota", "/", "/peer?zone=z1&instance=front-2" };
    return "GET " + this->choose(resources) + " HTTP/1.1\r\nHost: 127.0.0.1\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n";
}

std::string FuzzInput::makeFrames()
{
    std::string frames;
    for (std::uint64_t count = this->random.below(mostFrames) + 1; count > 0; count--)
        frames += this->makeFrame();
    return this->isOneOf(8) ? this->mutator.mutate(frames, frames) : frames;
}

std::string FuzzInput::makeFrame()
{
    enum Opcode {
        Continuation = 0,
        Text = 1,
        Binary = 2,
        Close = 8,
        Ping = 9,
        Pong = 10
    };
    std::string payload = this->makeMessage();
    int opcode = Binary;
    bool isFinal = true;
    if (this->isOneOf(6)) {
        opcode = static_cast<int>(this->random.below(16));
        isFinal = !this->isOneOf(2);
    }
    if (opcode >= Close && this->isOneOf(2))
        payload = opcode == Close ? std::string({ static_cast<char>(this->random.below(256)), static_cast<char>(this->random.below(256)) }) + "reason\xff" : payload.substr(0, longestShortPayload);
    bool isMasked = !this->isOneOf(20);
    std::uint64_t length = this->isOneOf(20) ? this->random.bits() >> this->random.below(64) : payload.size();
    std::string frame(1, static_cast<char>((isFinal ? 0x80 : 0) | (this->isOneOf(30) ? 0x10 << this->random.below(3) : 0) | opcode));
    int form = length <= longestShortPayload && !this->isOneOf(20) ? static_cast<int>(length) : length <= 0xffff && !this->isOneOf(20) ? extendedLength16
                                                                                                                                       : extendedLength64;
    frame += static_cast<char>((isMasked ? 0x80 : 0) | form);
    int numLengthBytes = form == extendedLength16 ? 2 : form == extendedLength64 ? 8
                                                                                 : 0;
    for (int index = numLengthBytes - 1; index >= 0; index--)
        frame += static_cast<char>(length >> (index * byteBits));
    // A mask of zeros leaves the payload as it is.
    return frame + (isMasked ? std::string(4, '\0') : "") + payload;
}

std::string FuzzInput::makeMessage()
{
    nlohmann::json document = this->protocol == FuzzedProtocol::Peers ? this->makePeerRequest() : this->protocol == FuzzedProtocol::Lending ? this->makeLendingMessage()
                                                                                                                                            : this->makeQuotaMessage();
    const std::vector<nlohmann::json> odd { nullptr, -1, 0.5, true, "", "x", nlohmann::json::array(), nlohmann::json::object(), 18446744073709551615ULL, std::string(longFieldBytes, 'z'), nlohmann::json::array({ 1, "a" }) };
    nlohmann::json& changed = this->protocol == FuzzedProtocol::Peers && document["body"].is_object() ? document["body"] : document;
    for (nlohmann::json& value : changed) {
        if (this->isOneOf(8))
            value = odd[this->random.below(odd.size())];
    }
    if (this->isOneOf(8))
        changed.erase(changed.begin());
    std::string bytes = toCbor(document);
    return this->isOneOf(3) ? this->mutator.mutate(bytes, bytes) : bytes;
}

nlohmann::json FuzzInput::makePeerRequest()
{
    const std::vector<std::string> kinds { "beliefs", "routes", "routes_version", "upstreams", "members", "take_lead", "suspect", "opinion", "failover_progress", "record_version", "strange" };
    nlohmann::json body { { "ask", this->choose(kinds) }, { "group", this->choose({ "ledger", "other", "" }) }, { "primary", this->choose({ "u1", "u2", "u9", "" }) }, { "reporter", this->choose({ "front-2", "front-9" }) }, { "is_leaving", false } };
    return { { "number", this->random.below(4) }, { "body", body } };
}

nlohmann::json FuzzInput::makeLendingMessage()
{
    LendingMessage message;
    message.kind = static_cast<LendingMessage::Kind>(this->random.below(static_cast<std::uint64_t>(LendingMessage::Kind::Drop) + 1));
    message.loan = this->random.below(6);
    message.upstream = UpstreamId(this->choose({ "u1", "u2", "u3", "u9" }));
    message.caller = CallerId("c");
    message.workspace = WorkspaceId(this->choose({ "alpha", "beta", "" }));
    message.wait = std::chrono::milliseconds(this->random.below(300));
    message.mode = this->isOneOf(2) ? AccessMode::Read : AccessMode::Write;
    message.acceptsAnyWorkspace = this->isOneOf(2);
    message.context.values["zone"] = "a";
    message.context.preparedNames = { "r-x", "w-y" };
    message.latency = std::chrono::milliseconds(2);
    message.load = 0.5;
    message.isLast = this->isOneOf(2);
    message.wasReset = this->isOneOf(2);
    message.command = this->choose({ "QUERY q1 READ fuzz\r\n", "QUERY q1 WRITE fuzz v\r\n", "QUERY - BEGIN\r\n" });
    message.reply.rows = { "a", "b" };
    message.reply.signature = "7.1";
    message.reply.head = LogPoint { Term(1), Position(9) };
    return parseCbor(encodeLendingMessage(message));
}

nlohmann::json FuzzInput::makeQuotaMessage()
{
    QuotaMessage message;
    message.kind = static_cast<QuotaMessage::Kind>(this->random.below(static_cast<std::uint64_t>(QuotaMessage::Kind::Stopping) + 1));
    message.instance = InstanceId(this->choose({ "front-1", "front-2", "front-9" }));
    message.epoch = this->random.below(3);
    message.time = Duration(static_cast<Duration::rep>(this->random.below(1000000000)));
    message.numInstances = this->random.below(4) + 1;
    message.partitions = this->random.below(8);
    message.credits = this->random.below(8);
    message.request = this->random.below(9);
    message.workspace = WorkspaceId(this->choose({ "alpha", "w", "" }));
    return parseCbor(encodeQuotaMessage(message));
}

} // namespace lentiljunction::lab
