#include "../../src/gateway/PieceCodec.h"
#include "../../src/gateway/PieceReceiver.h"
#include "lentiljunction/core/Cbor.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

const Endpoint first { "10.0.0.1", 1 };
const Endpoint second { "10.0.0.2", 1 };
const Endpoint third { "10.0.0.3", 1 };

std::shared_ptr<const std::string> makeContent(char letter)
{
    return std::make_shared<const std::string>(100000, letter);
}

/// Requests what a receiver lacks, over the encoding.
PieceResponse ask(PieceSender& sender, const PieceReceiver& receiver, const Endpoint& self, const std::shared_ptr<const std::string>& content)
{
    nlohmann::json request = nlohmann::json::object();
    encodePieceRequest({ self, receiver.getContent(), receiver.getOffset() }, request);
    PieceResponse response = sender.respond(*decodePieceRequest(parseCbor(toCbor(request))), content);
    return *decodePieceResponse(parseCbor(toCbor(encodePieceResponse(response))));
}

/// Receives pieces until the content is complete or the sender is busy.
bool receiveAll(PieceSender& sender, PieceReceiver& receiver, const Endpoint& self, const std::shared_ptr<const std::string>& content)
{
    while (!receiver.isComplete()) {
        if (!receiver.add(ask(sender, receiver, self, content)))
            return false;
    }
    ask(sender, receiver, self, content);
    return receiver.isIntact();
}

} // namespace

TEST_GROUP(Pieces)
{
    ManualClock clock;
    std::shared_ptr<const std::string> content = makeContent('a');
};

// A sender that serves everybody at once serves nobody in time.
TEST(Pieces, senderRefusesMoreReceiversThanItServesAtATimeAndNamesThoseThatHaveTheContent)
{
    PieceSender sender(this->clock);
    PieceReceiver receivers[3];
    CHECK_TRUE(receivers[0].add(ask(sender, receivers[0], first, this->content)));
    CHECK_TRUE(receivers[1].add(ask(sender, receivers[1], second, this->content)));
    PieceResponse refused = ask(sender, receivers[2], third, this->content);
    CHECK(refused.kind == PieceResponse::Kind::Busy && refused.retryAfter > Duration(0));
    CHECK_TRUE(receiveAll(sender, receivers[0], first, this->content));
    CHECK_TRUE(receivers[2].add(ask(sender, receivers[2], third, this->content)));
    PieceReceiver other;
    PieceResponse referred = ask(sender, other, { "10.0.0.4", 1 }, this->content);
    CHECK(referred.others == std::vector<Endpoint> { first });
}

// A receiver that stopped must not keep others out.
TEST(Pieces, silentReceiverLosesItsTurn)
{
    PieceSender sender(this->clock);
    PieceReceiver receivers[3];
    receivers[0].add(ask(sender, receivers[0], first, this->content));
    receivers[1].add(ask(sender, receivers[1], second, this->content));
    this->clock.advance(std::chrono::seconds(1));
    CHECK_TRUE(receiveAll(sender, receivers[2], third, this->content));
}

// A transfer that was interrupted began again, so it never ended over a bad link.
TEST(Pieces, transferContinuesAtAnotherSender)
{
    PieceSender sender(this->clock);
    PieceSender other(this->clock);
    PieceReceiver receiver;
    receiver.add(ask(sender, receiver, first, this->content));
    std::size_t offset = receiver.getOffset();
    PieceResponse next = ask(other, receiver, first, this->content);
    CHECK_EQUAL(offset, next.offset);
    CHECK_TRUE(receiver.add(next));
    CHECK_TRUE(receiveAll(other, receiver, first, this->content));
}

// Versions that come faster than a transfer takes must not keep it from ending.
TEST(Pieces, transferEndsAlthoughTheContentChanges)
{
    PieceSender sender(this->clock);
    PieceReceiver receiver;
    receiver.add(ask(sender, receiver, first, this->content));
    CHECK_TRUE(receiveAll(sender, receiver, first, makeContent('b')));
    CHECK(receiver.getBytes() == *this->content);
}

// Pieces of different contents must not be put together.
TEST(Pieces, pieceOfAnotherContentStartsAnew)
{
    PieceSender sender(this->clock);
    PieceSender other(this->clock);
    PieceReceiver receiver;
    std::shared_ptr<const std::string> newer = makeContent('b');
    receiver.add(ask(sender, receiver, first, this->content));
    CHECK_TRUE(receiveAll(other, receiver, first, newer));
    CHECK(receiver.getBytes() == *newer);
    PieceResponse stray { PieceResponse::Kind::Piece, ContentId(5), 10, 20, "0123456789" };
    CHECK_FALSE(PieceReceiver().add(stray));
}

// Bytes of others must not make an instance hold more memory than a message may have.
TEST(Pieces, excessiveLengthsAreRefused)
{
    PieceResponse excessive { PieceResponse::Kind::Piece, ContentId(5), 0, std::size_t(64) << 20, "0123456789" };
    CHECK_FALSE(PieceReceiver().add(excessive));
    PieceResponse longer { PieceResponse::Kind::Piece, ContentId(5), 0, 4, "0123456789" };
    CHECK_FALSE(PieceReceiver().add(longer));
    PieceResponse empty { PieceResponse::Kind::Piece, ContentId(5), 0, 4, "" };
    CHECK_FALSE(PieceReceiver().add(empty));
}
