#include "PieceSender.h"

#include "lentiljunction/core/RendezvousHash.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// Takes 13 ms on a link of 10 Mbit/s, a small part of the time in which other messages must be answered.
    constexpr std::size_t pieceBytes = 16U << 10;
    /// Each may have a piece on the link.
    constexpr std::size_t maximumTransfers = 2;
    constexpr std::chrono::milliseconds receiverTimeout { 500 };
    constexpr std::chrono::milliseconds shortestRetry { 10 };
    /// Shorter than the time for which a receiver waits for progress before it reads the store.
    constexpr std::chrono::milliseconds longestRetry { 250 };
    constexpr std::size_t maximumServed = 8;
    /// The weight of the last transfer in the average time of one.
    constexpr int averageWeight = 4;

    std::string toKey(const Endpoint& endpoint)
    {
        return endpoint.host + ":" + std::to_string(endpoint.port);
    }

} // namespace

ContentId computeContentId(const std::string& bytes)
{
    return ContentId(std::max<std::uint64_t>(1, stableHash(bytes)));
}

PieceResponse PieceSender::respond(const PieceRequest& request, const std::shared_ptr<const std::string>& current)
{
    this->dropSilentReceivers();
    std::map<std::string, Transfer>::iterator found = this->transfers.find(toKey(request.receiver));
    bool isKnown = found != this->transfers.end() && found->second.content == request.content;
    if (!isKnown)
        return this->begin(request, current);
    if (request.offset >= found->second.bytes->size()) {
        this->end(request);
        return {};
    }
    found->second.requestedAt = this->clock.now();
    return this->makePiece(found->second, request.offset);
}

PieceResponse PieceSender::begin(const PieceRequest& request, const std::shared_ptr<const std::string>& current)
{
    std::string key = toKey(request.receiver);
    this->transfers.erase(key);
    if (current == nullptr)
        return {};
    bool isSmall = current->size() <= smallContentBytes;
    if (!isSmall && this->transfers.size() >= maximumTransfers)
        return this->refuse();
    TimePoint now = this->clock.now();
    Transfer transfer { current, computeContentId(*current), now, now };
    std::size_t offset = transfer.content == request.content ? request.offset : 0;
    if (offset >= current->size())
        return {};
    if (!isSmall)
        this->transfers[key] = transfer;
    return this->makePiece(transfer, offset);
}

PieceResponse PieceSender::makePiece(const Transfer& transfer, std::size_t offset) const
{
    PieceResponse response;
    response.kind = PieceResponse::Kind::Piece;
    response.content = transfer.content;
    response.offset = offset;
    response.total = transfer.bytes->size();
    response.bytes = transfer.bytes->substr(offset, pieceBytes);
    return response;
}

PieceResponse PieceSender::refuse()
{
    TimePoint now = this->clock.now();
    this->turnsTakenUntil = std::min<TimePoint>(std::max(now, this->turnsTakenUntil) + this->averageTime / maximumTransfers, now + longestRetry);
    PieceResponse response;
    response.kind = PieceResponse::Kind::Busy;
    response.retryAfter = std::max<Duration>(shortestRetry, std::chrono::duration_cast<Duration>(this->turnsTakenUntil - now));
    if (!this->served.empty())
        response.others.push_back(this->served[this->nextServed++ % this->served.size()]);
    return response;
}

void PieceSender::end(const PieceRequest& request)
{
    std::map<std::string, Transfer>::iterator found = this->transfers.find(toKey(request.receiver));
    Duration taken = std::chrono::duration_cast<Duration>(this->clock.now() - found->second.startedAt);
    this->averageTime += (taken - this->averageTime) / averageWeight;
    this->transfers.erase(found);
    this->served.erase(std::remove(this->served.begin(), this->served.end(), request.receiver), this->served.end());
    this->served.push_back(request.receiver);
    if (this->served.size() > maximumServed)
        this->served.pop_front();
}

void PieceSender::dropSilentReceivers()
{
    TimePoint now = this->clock.now();
    for (std::map<std::string, Transfer>::iterator transfer = this->transfers.begin(); transfer != this->transfers.end();) {
        if (now - transfer->second.requestedAt > receiverTimeout)
            transfer = this->transfers.erase(transfer);
        else
            ++transfer;
    }
}

} // namespace lentiljunction
