#include "lentiljunction/core/Cbor.h"

namespace lentiljunction {

nlohmann::json parseCbor(const std::string& bytes)
{
    try {
        return nlohmann::json::from_cbor(bytes, true, false);
    } catch (const nlohmann::json::exception&) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
}

std::string toCbor(const nlohmann::json& document)
{
    std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(document);
    return std::string(bytes.begin(), bytes.end());
}

} // namespace lentiljunction
