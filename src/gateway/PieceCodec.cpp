#include "PieceCodec.h"

#include "lentiljunction/core/Json.h"

#include <limits>
#include <stdexcept>

namespace lentiljunction {

namespace {

    constexpr const char* requestField = "piece";
    constexpr const char* pieceField = "piece";
    constexpr const char* busyField = "busy";
    constexpr std::uint64_t noLimit = std::numeric_limits<std::uint64_t>::max();

    nlohmann::json encodeEndpoint(const Endpoint& endpoint)
    {
        return { endpoint.host, endpoint.port };
    }

    /// @throws std::exception when the value is malformed
    Endpoint decodeEndpoint(const nlohmann::json& document)
    {
        return { document.at(0).get<std::string>(), getPort(document.at(1)) };
    }

    /// @throws std::exception when the value is malformed
    PieceResponse decodePiece(const nlohmann::json& document)
    {
        PieceResponse piece;
        piece.kind = PieceResponse::Kind::Piece;
        piece.content = ContentId(getNumber(document.at("content"), noLimit));
        piece.offset = getNumber(document.at("offset"), std::numeric_limits<std::uint32_t>::max());
        piece.total = getNumber(document.at("total"), std::numeric_limits<std::uint32_t>::max());
        if (!document.at("bytes").is_binary())
            throw std::invalid_argument("no bytes");
        const nlohmann::json::binary_t& bytes = document.at("bytes").get_binary();
        piece.bytes.assign(bytes.begin(), bytes.end());
        return piece;
    }

    /// @throws std::exception when the value is malformed
    PieceResponse decodeBusy(const nlohmann::json& document)
    {
        PieceResponse busy;
        busy.kind = PieceResponse::Kind::Busy;
        busy.retryAfter = Duration(static_cast<Duration::rep>(getNumber(document.at("retry_us"), static_cast<std::uint64_t>(longestMessageDuration))));
        for (const nlohmann::json& other : document.at("others"))
            busy.others.push_back(decodeEndpoint(other));
        return busy;
    }

} // namespace

void encodePieceRequest(const PieceRequest& piece, nlohmann::json& request)
{
    request[requestField] = { { "receiver", encodeEndpoint(piece.receiver) }, { "content", piece.content.value() }, { "offset", piece.offset } };
}

std::optional<PieceRequest> decodePieceRequest(const nlohmann::json& request)
{
    try {
        const nlohmann::json& piece = request.at(requestField);
        return PieceRequest { decodeEndpoint(piece.at("receiver")), ContentId(getNumber(piece.at("content"), noLimit)), getNumber(piece.at("offset"), std::numeric_limits<std::uint32_t>::max()) };
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

nlohmann::json encodePieceResponse(const PieceResponse& response)
{
    switch (response.kind) {
    case PieceResponse::Kind::Piece: {
        nlohmann::json::binary_t bytes(nlohmann::json::binary_t::container_type(response.bytes.begin(), response.bytes.end()));
        return { { pieceField, { { "content", response.content.value() }, { "offset", response.offset }, { "total", response.total }, { "bytes", std::move(bytes) } } } };
    }
    case PieceResponse::Kind::Busy: {
        nlohmann::json others = nlohmann::json::array();
        for (const Endpoint& other : response.others)
            others.push_back(encodeEndpoint(other));
        return { { busyField, { { "retry_us", static_cast<std::uint64_t>(response.retryAfter.count()) }, { "others", std::move(others) } } } };
    }
    case PieceResponse::Kind::Nothing:
        break;
    }
    return { { "nothing", true } };
}

std::optional<PieceResponse> decodePieceResponse(const nlohmann::json& response)
{
    try {
        if (response.contains(pieceField))
            return decodePiece(response.at(pieceField));
        if (response.contains(busyField))
            return decodeBusy(response.at(busyField));
        return response.empty() || response.contains("nothing") ? std::optional<PieceResponse>(PieceResponse()) : std::nullopt;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace lentiljunction
