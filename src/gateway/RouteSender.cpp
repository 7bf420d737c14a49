#include "RouteSender.h"

#include "lentiljunction/routes/RelayedRoutes.h"

namespace lentiljunction {

nlohmann::json RouteSender::respond(const nlohmann::json&)
{
    return this->table != nullptr ? encodeRelayedRoutes(*this->table) : nlohmann::json::object();
}

} // namespace lentiljunction
