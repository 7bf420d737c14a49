#include "RouteSender.h"

#include "PieceCodec.h"
#include "lentiljunction/routes/RelayedRoutes.h"

namespace lentiljunction {

nlohmann::json RouteSender::respond(const nlohmann::json& request)
{
    std::optional<PieceRequest> piece = decodePieceRequest(request);
    if (!piece)
        return this->history.getNewest() != nullptr ? encodeRelayedRoutes(*this->history.getNewest()) : nlohmann::json::object();
    std::optional<BundleVersion> have;
    if (request.contains("have") && request["have"].is_number_unsigned())
        have = BundleVersion(request["have"].get<std::uint64_t>());
    return encodePieceResponse(this->pieces.respond(*piece, this->history.getContent(have)));
}

} // namespace lentiljunction
