#include "lending/LendingMessage.h"
#include "lentiljunction/core/Random.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

TEST_GROUP(LendingMessage) {};

TEST(LendingMessage, encodesAllFields)
{
    LendingMessage message;
    message.kind = LendingMessage::Kind::Borrow;
    message.loan = 7;
    message.upstream = UpstreamId("u1");
    message.rank = Rank::Background;
    message.caller = CallerId("driver");
    message.workspace = WorkspaceId("w1");
    message.acceptsAnyWorkspace = true;
    message.wait = std::chrono::milliseconds(80);
    message.context.values["zone"] = std::string("a\xff\x00b", 4);
    message.context.preparedNames = { "r-x", "w-y" };
    std::optional<LendingMessage> decoded = decodeLendingMessage(encodeLendingMessage(message));
    CHECK(decoded.has_value());
    CHECK(decoded->upstream == message.upstream);
    CHECK(decoded->rank == message.rank);
    CHECK(decoded->caller == message.caller);
    CHECK(decoded->workspace == message.workspace);
    CHECK(decoded->acceptsAnyWorkspace);
    CHECK(decoded->wait == message.wait);
    CHECK(decoded->context.values == message.context.values);
    CHECK(decoded->context.preparedNames == message.context.preparedNames);

    LendingMessage denied;
    denied.kind = LendingMessage::Kind::Denied;
    denied.denial = LendingMessage::Denial::TooLong;
    denied.retryAfter = std::chrono::milliseconds(40);
    decoded = decodeLendingMessage(encodeLendingMessage(denied));
    CHECK(decoded->denial == denied.denial);
    CHECK(decoded->retryAfter == denied.retryAfter);

    LendingMessage reply;
    reply.kind = LendingMessage::Kind::Reply;
    reply.reply.rows = { "a", "" };
    reply.reply.signature = "7.1f3";
    reply.reply.code = ReplyCode::Busy;
    reply.reply.message = "no slot";
    reply.reply.state = TransactionState::Failed;
    reply.reply.head = LogPoint { Term(3), Position(9) };
    decoded = decodeLendingMessage(encodeLendingMessage(reply));
    CHECK(decoded.has_value());
    CHECK(decoded->reply.rows == reply.reply.rows);
    STRCMP_EQUAL("7.1f3", decoded->reply.signature.c_str());
    CHECK(decoded->reply.code == ReplyCode::Busy);
    CHECK(decoded->reply.state == TransactionState::Failed);
    CHECK(decoded->reply.head == reply.reply.head);
}

// Guards against a malformed message of another instance that throws or is taken for a valid one.
TEST(LendingMessage, refusesMalformedBytes)
{
    LendingMessage message;
    message.kind = LendingMessage::Kind::Granted;
    std::string valid = encodeLendingMessage(message);
    CHECK(decodeLendingMessage(valid).has_value());
    for (std::size_t length = 0; length < valid.size(); length++)
        CHECK_FALSE(decodeLendingMessage(valid.substr(0, length)).has_value());
    Random random(3);
    for (int count = 0; count < 20000; count++) {
        std::string changed = valid;
        changed[random.below(changed.size())] = static_cast<char>(random.below(256));
        decodeLendingMessage(changed);
    }
}
