#include "PlatformSite.h"

#include <utility>

namespace lentiljunction::standin {

namespace {

    constexpr const char* loopback = "127.0.0.1";
    constexpr const char* groupName = "ledger";
    constexpr int noSuchGroup = 404;

} // namespace

PlatformSite::PlatformSite(const std::function<std::uint16_t()>& allocatePort)
    : allocatePort(allocatePort)
    , store(this->loop)
    , group(this->loop, groupName)
    , promotionEndpoint(this->loop, this->group)
{
}

PlatformSite::~PlatformSite()
{
    this->loop.stop();
}

bool PlatformSite::start(Failure& failure)
{
    this->store.setPromotionHandler([this](const std::string& name, const std::string& id, std::function<void(int)> respond) {
        if (name != groupName)
            return respond(noSuchGroup);
        this->promotionEndpoint.onCall(id, std::move(respond));
    });
    this->group.setRoleListener([this](const std::string& id, bool isPrimary) {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->writeReport(id, isPrimary);
    });
    for (const char* id : { "u1", "u2", "u3" }) {
        this->endpoints[id] = { loopback, this->allocatePort() };
        if (!this->group.add(id, this->endpoints[id], failure))
            return false;
        this->report(id, std::string(id) == "u1");
    }
    this->loop.start();
    return true;
}

Endpoint PlatformSite::openStorePort(Failure& failure)
{
    Endpoint storeEndpoint { loopback, this->allocatePort() };
    this->store.listen(storeEndpoint, failure);
    return storeEndpoint;
}

void PlatformSite::configure(std::uint64_t version, const std::vector<std::string>& databases)
{
    nlohmann::json routes = nlohmann::json::array();
    for (const std::string& database : databases) {
        std::string type = database == "bookings" ? "primary" : "read_your_writes";
        routes.push_back({ { "name", "r-" + database }, { "host", database }, { "path_prefix", "/" }, { "route_type", type }, { "timeout_ms", 1500 }, { "target_latency_ms", 250 }, { "priority", 0 }, { "service", groupName }, { "attempts", 2 }, { "max_staleness_ms", 2500 } });
        if (this->publicDatabases.count(database) > 0)
            routes.back()["public"] = true;
    }
    nlohmann::json services = nlohmann::json::array();
    services.push_back({ { "name", groupName }, { "health_path", "/health" }, { "max_conns", this->maximumConnections }, { "sync_replicas", this->numSynchronousReplicas } });
    nlohmann::json configuration { { "version", version }, { "routes", routes }, { "services", services }, { "limits", { { "tx_idle_ms", 10000 } } } };
    if (!this->workspaces.is_null())
        configuration["tenants"] = this->workspaces;
    this->store.put("config", "main", configuration);
}

void PlatformSite::setWorkspaces(const std::map<std::string, std::vector<std::string>>& keys)
{
    this->workspaces = nlohmann::json::array();
    for (const std::pair<const std::string, std::vector<std::string>>& workspace : keys)
        this->workspaces.push_back({ { "name", workspace.first }, { "api_keys", workspace.second }, { "rate_per_s", 1000 }, { "burst", 1000 }, { "priority", 0 } });
}

void PlatformSite::setSynchronous()
{
    this->numSynchronousReplicas = 1;
    this->group.setSynchronous(true);
}

void PlatformSite::setLimits(double ratePerSecond, double newBurst)
{
    for (nlohmann::json& workspace : this->workspaces) {
        workspace["rate_per_s"] = ratePerSecond;
        workspace["burst"] = newBurst;
    }
}

Endpoint PlatformSite::publishAddress(const std::string& id, const Endpoint& address)
{
    bool isPrimary = id == this->group.findPrimary();
    std::lock_guard<std::mutex> lock(this->mutex);
    Endpoint own = std::exchange(this->endpoints[id], address);
    this->writeReport(id, isPrimary);
    return own;
}

void PlatformSite::report(const std::string& id, bool isPrimary, bool isLeaving)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (isLeaving)
        this->leavingUpstreams.insert(id);
    else
        this->leavingUpstreams.erase(id);
    this->writeReport(id, isPrimary);
}

void PlatformSite::reportStart(const std::string& id)
{
    std::string primary = this->group.findPrimary();
    std::lock_guard<std::mutex> lock(this->mutex);
    std::int64_t now = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    for (const std::pair<const std::string, Endpoint>& endpoint : this->endpoints)
        this->startTimes.emplace(endpoint.first, now - 1);
    this->startTimes[id] = now;
    for (const std::pair<const std::string, Endpoint>& endpoint : this->endpoints)
        this->writeReport(endpoint.first, endpoint.first == primary);
}

void PlatformSite::end(const std::string& id)
{
    this->group.crash(id);
    this->store.remove("servers", id);
}

bool PlatformSite::startSuccessor(const std::string& id, const std::string& predecessor, Failure& failure)
{
    if (!this->group.startSuccessor(id, predecessor, failure))
        return false;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->endpoints[id] = this->endpoints[predecessor];
        this->startTimes[id] = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }
    this->report(id, false);
    return true;
}

void PlatformSite::writeReport(const std::string& id, bool isPrimary)
{
    const Endpoint& endpoint = this->endpoints[id];
    bool isLeaving = this->leavingUpstreams.count(id) > 0;
    nlohmann::json entry { { "service", groupName }, { "address", endpoint.host + ":" + std::to_string(endpoint.port) }, { "zone", "z" + id.substr(1) }, { "version", "v1" }, { "slots", 2 }, { "state", isLeaving ? "draining" : "ready" }, { "cold_left_ms", 0 }, { "db_role", isPrimary ? "primary" : "replica" }, { "seq_no", 1 } };
    if (this->startTimes.count(id) > 0)
        entry["born"] = this->startTimes[id];
    this->store.put("servers", id, entry);
}

} // namespace lentiljunction::standin
