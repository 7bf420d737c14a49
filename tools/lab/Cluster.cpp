#include "Cluster.h"

#include "../../src/store/HttpPlatformStore.h"

#include <arpa/inet.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <httplib.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace lentiljunction::lab {

namespace {

    const std::string loopback = "127.0.0.1";
    constexpr std::chrono::milliseconds pollInterval { 20 };
    constexpr std::chrono::seconds startTimeout { 30 };
    constexpr int httpOk = 200;
    constexpr const char* operatorName = "operator";

    template <typename Condition>
    bool waitFor(std::chrono::milliseconds timeout, Condition condition)
    {
        std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + timeout;
        while (std::chrono::steady_clock::now() < deadline) {
            if (condition())
                return true;
            std::this_thread::sleep_for(pollInterval);
        }
        return false;
    }

    bool isPortFree(int port)
    {
        int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, loopback.c_str(), &address.sin_addr);
        bool isFree = ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
        ::close(descriptor);
        return isFree;
    }

    std::optional<std::string> httpGet(int port, const std::string& path)
    {
        httplib::Client client(loopback, port);
        client.set_connection_timeout(std::chrono::seconds(1));
        client.set_read_timeout(std::chrono::seconds(2));
        httplib::Result result = client.Get(path);
        if (!result || result->status != httpOk)
            return std::nullopt;
        return result->body;
    }

} // namespace

int findFreePort()
{
    // The ports lie below the system's ephemeral port range, so that an outgoing connection cannot take one.
    constexpr int firstPort = 10000;
    constexpr int portsPerProcess = 100;
    constexpr int numRanges = 220;
    static int next = firstPort + static_cast<int>(::getpid() % numRanges) * portsPerProcess;
    while (!isPortFree(next))
        next++;
    return next++;
}

Cluster::Cluster(SitePlan site, std::string binaries, std::string folder)
    : site(std::move(site))
    , binaries(std::move(binaries))
    , folder(std::move(folder))
    , operatorKey(createKeyPair())
{
    std::filesystem::create_directories(this->folder);
}

Cluster::~Cluster() = default;

bool Cluster::start(Failure& failure)
{
    this->planNodes();
    this->startStore();
    this->startUpstreams();
    this->startNetwork();
    if (!this->waitUntilStoreResponds()) {
        failure.set(Failure::Kind::Unavailable, "the platform store stand-in does not start");
        return false;
    }
    if (!this->rollBundle(this->makeBundle(1), failure))
        return false;

    for (InstanceNode& node : this->instances) {
        this->writeSettings(node);
        this->startInstance(node);
    }
    for (const InstanceNode& node : this->instances) {
        if (this->waitUntilReady(node, startTimeout))
            continue;
        failure.set(Failure::Kind::Unavailable, "instance " + node.id + " does not become ready; see " + this->folder);
        return false;
    }
    return true;
}

void Cluster::startInstance(InstanceNode& node)
{
    node.process = std::make_unique<Process>(this->binaries + "/lentiljunction", std::vector<std::string> { "serve", "--settings", node.settingsPath }, this->folder + "/" + node.id + ".log");
}

bool Cluster::waitUntilReady(const InstanceNode& node, std::chrono::milliseconds timeout)
{
    return waitFor(timeout, [&] { return httpGet(node.callerPort, "/readyz").has_value(); });
}

bool Cluster::rollBundle(const nlohmann::json& document, Failure& failure)
{
    HttpPlatformStore platform({ loopback, static_cast<std::uint16_t>(this->storePort) }, "zone=;instance=lab", nullptr);
    BundleAdmin office(platform, this->getTrustedOperators());
    std::optional<BundleVersion> version = office.create(document, failure);
    return version && office.approve(*version, operatorName, this->operatorKey.privateKey, failure) && office.roll(*version, failure);
}

bool Cluster::writeLeavingUpstreams(const std::vector<std::string>& upstreamIds, Failure& failure)
{
    HttpPlatformStore platform({ loopback, static_cast<std::uint16_t>(this->storePort) }, "zone=;instance=lab", nullptr);
    std::optional<StoreObject> before = platform.get(storekeys::leavingUpstreams, failure);
    StoreVersion expected = before ? before->version : StoreVersion();
    return platform.put(storekeys::leavingUpstreams, expected, nlohmann::json(upstreamIds).dump(), failure).has_value();
}

nlohmann::json Cluster::makeBundle(std::uint64_t version) const
{
    nlohmann::json bundle {
        { "version", version },
        { "operators", { { "serial", 1 }, { "threshold", 1 }, { "keys", { { operatorName, this->operatorKey.publicKey } } } } },
        { "ranks", { { "urgent", { { "target_ms", this->site.urgentTargetMilliseconds } } }, { "normal", { { "target_ms", this->site.normalTargetMilliseconds }, { "floor_percent", this->site.normalFloorPercent } } }, { "background", { { "target_ms", this->site.backgroundTargetMilliseconds }, { "floor_percent", this->site.backgroundFloorPercent } } } } },
        { "profiles", { { "standard", { { "slots", this->site.slots }, { "connections", this->site.connections }, { "warm_connections", 2 }, { "status_sql", "SELECT * FROM lentiljunction_status()" }, { "fence_sql", "SELECT * FROM lentiljunction_fence({term})" }, { "promote_sql", "SELECT * FROM lentiljunction_promote({term})" } } } } },
    };
    for (const UpstreamNode& node : this->upstreams) {
        nlohmann::json& database = bundle["databases"][node.database];
        database["profile"] = "standard";
        database["durability"] = this->site.durability;
        database["upstreams"].push_back({ { "id", node.id }, { "zone", node.zone }, { "host", loopback }, { "port", node.port } });
    }
    if (this->site.separatePools)
        this->addSeparatePools(bundle);
    return bundle;
}

void Cluster::addSeparatePools(nlohmann::json& bundle) const
{
    for (const InstanceNode& node : this->instances) {
        nlohmann::json database = bundle["databases"].at("db-a");
        for (nlohmann::json& upstream : database["upstreams"]) {
            upstream["id"] = node.id + "-" + upstream["id"].get<std::string>();
            upstream["zone"] = node.zone;
        }
        bundle["databases"][node.id] = database;
    }
}

bool Cluster::postControl(int port, const nlohmann::json& change)
{
    httplib::Client client(loopback, port);
    httplib::Result result = client.Post("/control", change.dump(), "application/json");
    return result && result->status == httpOk;
}

void Cluster::cutZones(const std::vector<std::string>& zones)
{
    this->postControl(this->networkControlPort, { { "cut_zones", zones } });
    this->postControl(this->storePort, { { "cut_zones", zones } });
    for (UpstreamNode& node : this->upstreams) {
        if (!node.process->isRunning())
            continue;
        bool isInside = std::find(zones.begin(), zones.end(), node.zone) != zones.end();
        nlohmann::json cut = nlohmann::json::array();
        for (const ZonePlan& zone : this->site.zones) {
            bool isOther = zone.name != node.zone;
            bool isCutZone = std::find(zones.begin(), zones.end(), zone.name) != zones.end();
            if (isOther && (isInside || isCutZone))
                cut.push_back(zone.name);
        }
        this->postControl(node.controlPort, { { "cut_zones", cut } });
    }
}

nlohmann::json Cluster::describeUpstream(const UpstreamNode& node)
{
    std::optional<std::string> text = httpGet(node.controlPort, "/control");
    return text ? nlohmann::json::parse(*text) : nlohmann::json();
}

UpstreamNode* Cluster::findPrimary(const std::string& database)
{
    UpstreamNode* primary = nullptr;
    std::uint64_t highest = 0;
    for (UpstreamNode& node : this->upstreams) {
        if (node.database != database || !node.process->isRunning())
            continue;
        nlohmann::json state = this->describeUpstream(node);
        if (!state.is_object() || !state.value("primary", false) || state.value("head_term", std::uint64_t(0)) < highest)
            continue;
        highest = state.value("head_term", std::uint64_t(0));
        primary = &node;
    }
    return primary;
}

std::uint64_t Cluster::getBundleVersion(const InstanceNode& node)
{
    std::optional<std::string> text = httpGet(node.callerPort, "/v1/status");
    return text ? nlohmann::json::parse(*text).value("bundle_version", std::uint64_t(0)) : 0;
}

OperatorSet Cluster::getTrustedOperators() const
{
    OperatorSet trust;
    trust.threshold = 1;
    trust.keys[operatorName] = this->operatorKey.publicKey;
    return trust;
}

void Cluster::planNodes()
{
    this->storePort = findFreePort();
    this->networkControlPort = findFreePort();
    for (const ZonePlan& zone : this->site.zones) {
        for (int number = 1; number <= zone.numInstances; number++) {
            InstanceNode node;
            node.id = zone.name + "-" + std::to_string(number);
            node.zone = zone.name;
            node.callerPort = findFreePort();
            node.peerPort = findFreePort();
            node.relayPort = findFreePort();
            this->instances.push_back(std::move(node));
        }
    }
    for (int database = 0; database < this->site.numDatabases; database++) {
        std::string name = "db-" + std::string(1, static_cast<char>('a' + database));
        for (int member = 0; member < this->site.numUpstreams; member++) {
            UpstreamNode node;
            node.database = name;
            node.id = name + "-" + std::to_string(member + 1);
            node.zone = this->site.zones[static_cast<std::size_t>(database + member) % this->site.zones.size()].name;
            node.port = findFreePort();
            node.controlPort = findFreePort();
            this->upstreams.push_back(std::move(node));
        }
    }
}

void Cluster::startStore()
{
    this->store = std::make_unique<Process>(this->binaries + "/lj-standin-store", std::vector<std::string> { "--port", std::to_string(this->storePort) }, this->folder + "/store.log");
}

void Cluster::startUpstreams()
{
    for (UpstreamNode& node : this->upstreams) {
        std::vector<std::string> arguments {
            "--zone",
            node.zone,
            "--port",
            std::to_string(node.port),
            "--control-port",
            std::to_string(node.controlPort),
            "--replicas",
            this->makeReplicaList(node),
            "--slots",
            std::to_string(this->site.slots),
            "--connections",
            std::to_string(this->site.connections),
            "--open-ms",
            std::to_string(this->site.openMilliseconds),
            "--service-us",
            std::to_string(this->site.serviceMicroseconds),
            "--lag-ms",
            std::to_string(this->site.lagMilliseconds),
            "--delays",
            this->makeDelays(node.zone).dump(),
        };
        bool isFirst = node.id == node.database + "-1";
        if (isFirst)
            arguments.push_back("--primary");
        node.process = std::make_unique<Process>(this->binaries + "/lj-standin-database", arguments, this->folder + "/" + node.id + ".log");
    }
}

void Cluster::startNetwork()
{
    std::string links;
    for (const InstanceNode& node : this->instances)
        links += std::to_string(node.relayPort) + ":" + std::to_string(node.peerPort) + ":" + node.zone + ",";
    this->network = std::make_unique<Process>(this->binaries + "/lj-standin-network", std::vector<std::string> { "--links", links, "--control-port", std::to_string(this->networkControlPort) }, this->folder + "/network.log");
    waitFor(startTimeout, [&] { return this->postControl(this->networkControlPort, { { "delay_ms", this->site.zoneDelayMilliseconds } }); });
}

void Cluster::writeSettings(InstanceNode& node)
{
    node.settingsPath = this->folder + "/" + node.id + ".ini";
    std::ofstream file(node.settingsPath);
    file << "[instance]\nid = " << node.id << "\nzone = " << node.zone << "\n"
         << "[callers]\naddress = " << loopback << "\nport = " << node.callerPort << "\n"
         << "[peers]\naddress = " << loopback << "\nport = " << node.peerPort << "\nadvertise_port = " << node.relayPort << "\n";
    for (const InstanceNode& other : this->instances) {
        if (other.id != node.id)
            file << "seed." << other.id << " = " << other.zone << "@" << loopback << ":" << other.relayPort << "\n";
    }
    file << "[store]\naddress = " << loopback << "\nport = " << this->storePort << "\n"
         << "[drain]\ngrace_ms = 300\n"
         << "[trust]\nthreshold = 1\nkey." << operatorName << " = " << this->operatorKey.publicKey << "\n";
}

std::string Cluster::makeReplicaList(const UpstreamNode& self) const
{
    std::string list;
    for (const UpstreamNode& node : this->upstreams) {
        if (node.database == self.database && node.id != self.id)
            list += node.zone + "@" + loopback + ":" + std::to_string(node.controlPort) + ",";
    }
    return list;
}

nlohmann::json Cluster::makeDelays(const std::string& zone) const
{
    nlohmann::json delays = nlohmann::json::object();
    for (const ZonePlan& other : this->site.zones) {
        if (other.name != zone)
            delays[other.name] = static_cast<int>(this->site.zoneDelayMilliseconds);
    }
    return delays;
}

bool Cluster::waitUntilStoreResponds()
{
    return waitFor(startTimeout, [&] { return httpGet(this->storePort, "/control").has_value(); });
}

} // namespace lentiljunction::lab
