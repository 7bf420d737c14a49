#include "RouteReceiver.h"

#include "PieceCodec.h"
#include "lentiljunction/core/Cbor.h"
#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/routes/RelayedRoutes.h"
#include "lentiljunction/routes/RouteDelta.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// Allows several round trips between regions, and a piece for each of two receivers on a link that is shared.
    constexpr std::chrono::milliseconds pieceTimeout { 500 };
    constexpr std::chrono::milliseconds firstRetry { 100 };
    constexpr std::chrono::milliseconds longestRetry { 800 };
    constexpr int maximumRetryDoublings = 3;
    /// Those that a busy instance names are added only below this number.
    constexpr std::size_t maximumSources = 8;

    std::string describe(const Endpoint& peer)
    {
        return peer.host + ":" + std::to_string(peer.port);
    }

} // namespace

RouteReceiver::RouteReceiver(const Clock& clock, Transport& transport, Listener& listener, const Endpoint& self)
    : clock(clock)
    , transport(transport)
    , listener(listener)
    , self(self)
{
}

void RouteReceiver::onNewerVersion(const Endpoint& peer, BundleVersion version)
{
    this->addSource(peer, version);
    this->requestNext();
}

void RouteReceiver::addSource(const Endpoint& peer, BundleVersion version)
{
    if (peer == this->self)
        return;
    Source& source = this->sources[describe(peer)];
    source.endpoint = peer;
    source.version = std::max(source.version, version);
}

void RouteReceiver::onTableKnown(BundleVersion version)
{
    for (std::map<std::string, Source>::iterator source = this->sources.begin(); source != this->sources.end();) {
        if (source->second.version <= version)
            source = this->sources.erase(source);
        else
            ++source;
    }
    // What there is may be a difference from the version before.
    this->pieces.clear();
    if (this->sources.empty())
        this->progress.reset();
}

std::optional<TimePoint> RouteReceiver::getNextDeadline() const
{
    if (this->isRequestPending || this->sources.empty())
        return std::nullopt;
    TimePoint next = TimePoint::max();
    for (const std::pair<const std::string, Source>& source : this->sources)
        next = std::min(next, source.second.notBefore);
    return next;
}

void RouteReceiver::requestNext()
{
    if (this->isRequestPending)
        return;
    Source* next = nullptr;
    for (std::pair<const std::string, Source>& source : this->sources) {
        if (source.second.notBefore <= this->clock.now() && (next == nullptr || source.second.notBefore < next->notBefore))
            next = &source.second;
    }
    if (next != nullptr)
        this->requestPiece(*next);
}

void RouteReceiver::requestPiece(Source& source)
{
    this->isRequestPending = true;
    if (!this->progress)
        this->progress = Progress { this->clock.now() };
    nlohmann::json request { { "ask", "routes" } };
    encodePieceRequest({ this->self, this->pieces.getContent(), this->pieces.getOffset() }, request);
    std::shared_ptr<const RouteTable> table = this->listener.getNewestTable();
    if (table != nullptr && !this->mustBeComplete)
        request["have"] = table->version.value();
    this->transport.sendRouteRequest(source.endpoint, request, pieceTimeout);
}

void RouteReceiver::onResponse(const Endpoint& peer, const std::optional<nlohmann::json>& response)
{
    this->isRequestPending = false;
    if (std::exchange(this->isEndPending, false))
        return this->requestNext();
    if (!response)
        this->onFailed(peer, "no response in time, or the link was lost");
    else if (std::optional<PieceResponse> piece = decodePieceResponse(*response)) {
        if (piece->kind == PieceResponse::Kind::Piece)
            this->onPiece(peer, *piece);
        else if (piece->kind == PieceResponse::Kind::Busy)
            this->onBusy(peer, *piece);
        else
            this->sources.erase(describe(peer));
    } else
        this->onDocument(*response, peer);
    this->requestNext();
}

void RouteReceiver::onFailed(const Endpoint& peer, const std::string& reason)
{
    if (this->progress)
        this->progress->numInterruptions++;
    logEvent(events::routesNotReceived, "peer=" + describe(peer) + " reason=\"" + reason + "\" bytes=" + std::to_string(this->pieces.getOffset()));
    std::map<std::string, Source>::iterator found = this->sources.find(describe(peer));
    if (found == this->sources.end())
        return;
    int numDoublings = std::min(found->second.numFailures++, maximumRetryDoublings);
    found->second.notBefore = this->clock.now() + std::min<Duration>(firstRetry * (1 << numDoublings), longestRetry);
}

void RouteReceiver::onBusy(const Endpoint& peer, const PieceResponse& busy)
{
    std::map<std::string, Source>::iterator found = this->sources.find(describe(peer));
    if (found == this->sources.end())
        return;
    if (this->progress)
        this->progress->numRefusals++;
    found->second.notBefore = this->clock.now() + std::min<Duration>(busy.retryAfter, longestRetry);
    BundleVersion version = found->second.version;
    for (const Endpoint& other : busy.others) {
        if (this->sources.size() < maximumSources)
            this->addSource(other, version);
    }
    this->listener.onRoutesProgress();
}

void RouteReceiver::onPiece(const Endpoint& peer, const PieceResponse& piece)
{
    // The configuration may have come from elsewhere since the request.
    if (this->pieces.getContent() == ContentId() && piece.offset > 0)
        return;
    if (!this->pieces.add(piece)) {
        this->pieces.clear();
        return this->onFailed(peer, "a piece does not fit");
    }
    if (this->progress) {
        this->progress->numPieces++;
        this->progress->numBytes += piece.bytes.size();
    }
    this->listener.onRoutesProgress();
    std::map<std::string, Source>::iterator found = this->sources.find(describe(peer));
    if (found != this->sources.end())
        found->second.numFailures = 0;
    if (this->pieces.isComplete())
        return this->finish(peer);
    // The same instance goes on, since it has room for this transfer.
    if (found != this->sources.end())
        this->requestPiece(found->second);
}

void RouteReceiver::finish(const Endpoint& sender)
{
    std::string bytes = this->pieces.getBytes();
    bool isIntact = this->pieces.isIntact();
    if (bytes.size() > smallContentBytes) {
        Source ended { sender, BundleVersion(), TimePoint() };
        this->requestPiece(ended);
        this->isEndPending = true;
    }
    this->pieces.clear();
    if (!isIntact)
        return this->onFailed(sender, "the content is not the one that was named");
    this->onDocument(parseCbor(bytes), sender);
}

std::optional<RouteTable> RouteReceiver::decodeContent(const nlohmann::json& document, Failure& failure)
{
    if (!isRouteDelta(document))
        return decodeRelayedRoutes(document, failure);
    std::optional<RouteDelta> delta = decodeRouteDelta(document, failure);
    std::shared_ptr<const RouteTable> base = this->listener.getNewestTable();
    if (!delta || base == nullptr)
        return std::nullopt;
    return applyRouteDelta(*base, *delta, failure);
}

void RouteReceiver::onDocument(const nlohmann::json& document, const Endpoint& sender)
{
    Failure failure;
    std::optional<RouteTable> table = this->decodeContent(document, failure);
    this->mustBeComplete = !table;
    if (!table)
        return this->onFailed(sender, failure.reason);
    Progress ended = this->progress.value_or(Progress { this->clock.now() });
    Duration taken = std::chrono::duration_cast<Duration>(this->clock.now() - ended.startedAt);
    this->progress.reset();
    logEvent(events::routesReceived, "peer=" + describe(sender) + " routes_version=" + std::to_string(table->version.value()) + " is_delta=" + std::to_string(isRouteDelta(document)) + " pieces=" + std::to_string(ended.numPieces) + " bytes=" + std::to_string(ended.numBytes) + " took_ms=" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(taken).count()) + " interruptions=" + std::to_string(ended.numInterruptions) + " refusals=" + std::to_string(ended.numRefusals));
    std::shared_ptr<const RouteTable> received = std::make_shared<RouteTable>(std::move(*table));
    this->listener.onRoutesReceived(received, sender);
    this->onTableKnown(received->version);
}

} // namespace lentiljunction
