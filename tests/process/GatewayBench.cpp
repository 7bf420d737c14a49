#include "GatewayBench.h"

#include "../../tools/lab/Cluster.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace lentiljunction {

namespace {

    constexpr const char* loopback = "127.0.0.1";
    constexpr const char* groupName = "ledger";
    constexpr std::chrono::seconds patience { 30 };

    std::uint16_t takePort()
    {
        return static_cast<std::uint16_t>(lab::findFreePort());
    }

} // namespace

bool waitUntil(const std::function<bool()>& condition)
{
    std::chrono::steady_clock::time_point giveUpAt = std::chrono::steady_clock::now() + patience;
    while (std::chrono::steady_clock::now() < giveUpAt) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

LineCaller::LineCaller(std::uint16_t port, const std::string& database)
{
    this->descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    timeval limit { patience.count(), 0 };
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, loopback, &address.sin_addr);
    if (::connect(this->descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
        this->greeting = this->exchange("STARTUP " + database + " tester\r\n");
}

LineCaller::~LineCaller()
{
    ::close(this->descriptor);
}

std::string LineCaller::ask(const std::string& text)
{
    return this->exchange("QUERY q" + std::to_string(this->nextId++) + " " + text + "\r\n");
}

std::string LineCaller::exchange(const std::string& bytes)
{
    if (::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0)
        return "";
    return this->readAnswer();
}

std::string LineCaller::readAnswer()
{
    std::string answer;
    for (;;) {
        std::size_t end = this->buffer.find("\r\n");
        if (end == std::string::npos) {
            char received[4096];
            ssize_t size = ::recv(this->descriptor, received, sizeof received, 0);
            if (size <= 0)
                return answer;
            this->buffer.append(received, static_cast<std::size_t>(size));
            continue;
        }
        std::string line = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 2);
        answer += answer.empty() ? line : "|" + line;
        if (line.rfind("READY", 0) == 0)
            return answer;
    }
}

GatewayBench::GatewayBench(int numInstances)
    : store(this->loop)
    , group(this->loop, groupName)
    , storePort(takePort())
{
    Failure failure;
    this->store.listen({ loopback, this->storePort }, failure);
    this->store.setPromoter([this](const std::string& name, const std::string& id) {
        int status = name == groupName ? this->group.promote(id) : 404;
        if (status == 200)
            for (const std::pair<const std::string, Endpoint>& upstream : this->endpoints)
                this->report(upstream.first, upstream.first == id);
        return status;
    });
    for (const char* id : { "u1", "u2", "u3" }) {
        this->endpoints[id] = { loopback, takePort() };
        this->group.add(id, this->endpoints[id], failure);
        this->report(id, std::string(id) == "u1");
    }
    this->loop.start();
    this->configure(1, { "bookings" });
    for (int index = 0; index < numInstances; index++) {
        GatewaySettings settings = this->makeSettings(static_cast<std::size_t>(index));
        this->instances.push_back(std::make_unique<GatewayInstance>(settings, this->clock, this->adapter.getProtocol(), [this](EventLoop& controlLoop, const GatewaySettings& given) {
            return this->adapter.makeStore(controlLoop, given);
        }));
        this->instances.back()->start(failure);
    }
}

GatewayBench::~GatewayBench()
{
    this->instances.clear();
    this->loop.stop();
}

GatewaySettings GatewayBench::makeSettings(std::size_t index)
{
    GatewaySettings settings;
    settings.instance = InstanceId("front-" + std::to_string(index + 1));
    settings.zone = ZoneId("z" + std::to_string(index % 3 + 1));
    this->sessionPorts.push_back(takePort());
    settings.sessions = { loopback, this->sessionPorts.back() };
    settings.ready = { loopback, takePort() };
    settings.peers = { loopback, takePort() };
    settings.metrics = { loopback, takePort() };
    settings.store = { loopback, this->storePort };
    settings.promotion = settings.store;
    return settings;
}

void GatewayBench::configure(std::uint64_t version, const std::vector<std::string>& databases)
{
    nlohmann::json routes = nlohmann::json::array();
    for (const std::string& database : databases) {
        std::string type = database == "bookings" ? "primary" : "read_your_writes";
        routes.push_back({ { "name", "r-" + database }, { "host", database }, { "path_prefix", "/" }, { "route_type", type }, { "timeout_ms", 1500 }, { "target_latency_ms", 250 }, { "priority", 0 }, { "service", groupName }, { "attempts", 2 }, { "max_staleness_ms", 2500 } });
    }
    nlohmann::json services = nlohmann::json::array();
    services.push_back({ { "name", groupName }, { "health_path", "/health" }, { "max_conns", 16 }, { "sync_replicas", 0 } });
    this->store.put("config", "main", { { "version", version }, { "routes", routes }, { "services", services }, { "limits", { { "tx_idle_ms", 10000 } } } });
}

void GatewayBench::report(const std::string& id, bool isPrimary, bool isLeaving)
{
    const Endpoint& endpoint = this->endpoints[id];
    this->store.put("servers", id, { { "service", groupName }, { "address", endpoint.host + ":" + std::to_string(endpoint.port) }, { "zone", "z" + id.substr(1) }, { "version", "v1" }, { "slots", 2 }, { "state", isLeaving ? "draining" : "ready" }, { "cold_left_ms", 0 }, { "db_role", isPrimary ? "primary" : "replica" }, { "seq_no", 1 } });
}

bool GatewayBench::waitServed(const std::string& database)
{
    return waitUntil([&] {
        for (std::uint16_t port : this->sessionPorts) {
            LineCaller caller(port, database);
            if (caller.getGreeting() != "READY I -" || caller.ask("READ warmup").find("DONE sig.") == std::string::npos)
                return false;
        }
        return true;
    });
}

void GatewayBench::drain(std::size_t index)
{
    this->instances[index]->drain();
    this->instances[index].reset();
}

} // namespace lentiljunction
