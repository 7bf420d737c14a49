#include "SampleBundle.h"

namespace lentiljunction::tests {

nlohmann::json makeSampleBundle(std::uint64_t version, const std::map<std::string, KeyPair>& operators, int threshold, int numDatabases)
{
    nlohmann::json bundle {
        { "version", version },
        { "operators", { { "serial", 1 }, { "threshold", threshold }, { "keys", nlohmann::json::object() } } },
        { "ranks", { { "urgent", { { "target_ms", 100 } } }, { "normal", { { "target_ms", 500 }, { "floor_percent", 10 } } }, { "background", { { "target_ms", 2000 }, { "floor_percent", 5 } } } } },
        { "profiles", { { "standard", { { "slots", 2 }, { "connections", 16 }, { "status_sql", "SELECT * FROM lentiljunction_status()" }, { "fence_sql", "SELECT * FROM lentiljunction_fence({term})" }, { "promote_sql", "SELECT * FROM lentiljunction_promote({term})" } } } } },
        { "databases", nlohmann::json::object() },
    };
    for (const std::pair<const std::string, KeyPair>& entry : operators)
        bundle["operators"]["keys"][entry.first] = entry.second.publicKey;
    for (int index = 0; index < numDatabases; index++) {
        std::string name = "db-" + std::to_string(index);
        nlohmann::json upstreams = nlohmann::json::array();
        for (int member = 1; member <= 3; member++)
            upstreams.push_back({ { "id", name + "-" + std::to_string(member) }, { "zone", "z" + std::to_string(member) }, { "host", "127.0.0.1" }, { "port", 5000 + member } });
        bundle["databases"][name] = { { "profile", "standard" }, { "upstreams", upstreams } };
    }
    return bundle;
}

} // namespace lentiljunction::tests
