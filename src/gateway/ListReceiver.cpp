#include "ListReceiver.h"

#include "PieceCodec.h"
#include "lentiljunction/core/Cbor.h"
#include "lentiljunction/core/LogEvents.h"

#include <utility>

namespace lentiljunction {

namespace {

    /// Time for a piece from an instance in the same availability zone.
    constexpr std::chrono::milliseconds pieceTimeout { 400 };

} // namespace

ListReceiver::ListReceiver(EventLoop& loop, PeerRpc& peers, std::string question, const Endpoint& self, Callback callback)
    : loop(loop)
    , peers(peers)
    , question(std::move(question))
    , self(self)
    , callback(std::move(callback))
{
}

nlohmann::json ListReceiver::makeRequest() const
{
    nlohmann::json request { { "ask", this->question } };
    encodePieceRequest({ this->self, this->pieces.getContent(), this->pieces.getOffset() }, request);
    return request;
}

void ListReceiver::request(const Endpoint& peer)
{
    if (std::exchange(this->isPending, true))
        return;
    this->peers.ask(peer, this->makeRequest(), pieceTimeout, [this, peer](const std::optional<nlohmann::json>& response) { this->onResponse(peer, response); });
}

void ListReceiver::onResponse(const Endpoint& peer, const std::optional<nlohmann::json>& response)
{
    this->isPending = false;
    if (!response)
        return;
    std::optional<PieceResponse> piece = decodePieceResponse(*response);
    if (!piece)
        return this->callback(*response);
    if (piece->kind == PieceResponse::Kind::Piece)
        return this->onPiece(peer, *piece);
    if (piece->kind != PieceResponse::Kind::Busy)
        return;
    this->isPending = true;
    this->loop.schedule(piece->retryAfter, [this, peer] {
        this->isPending = false;
        this->request(peer);
    });
}

void ListReceiver::onPiece(const Endpoint& peer, const PieceResponse& piece)
{
    if (!this->pieces.add(piece)) {
        this->pieces.clear();
        return;
    }
    if (this->pieces.isComplete())
        return this->onComplete(peer);
    this->request(peer);
}

void ListReceiver::onComplete(const Endpoint& peer)
{
    std::string bytes = this->pieces.getBytes();
    bool isIntact = this->pieces.isIntact();
    // Tells the sender that another transfer may begin.
    if (bytes.size() > smallContentBytes)
        this->peers.ask(peer, this->makeRequest(), pieceTimeout, [](const std::optional<nlohmann::json>&) {});
    this->pieces.clear();
    if (isIntact)
        return this->callback(parseCbor(bytes));
    logEvent(events::peerMessageInvalid, "reason=\"the list of " + this->question + " is not the one that was named\"");
}

} // namespace lentiljunction
