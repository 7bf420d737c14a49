#include "GatewayBench.h"

#include "../../tools/lab/Cluster.h"

#include <httplib.h>
#include <thread>

namespace lentiljunction {

using lab::LineCaller;

namespace {

    constexpr const char* loopback = "127.0.0.1";
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

GatewayBench::GatewayBench(int numInstances)
    : site(takePort)
{
    Failure failure;
    this->site.start(failure);
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
}

GatewaySettings GatewayBench::makeSettings(std::size_t index)
{
    Failure failure;
    GatewaySettings settings;
    settings.instance = InstanceId("front-" + std::to_string(index + 1));
    settings.zone = ZoneId("z" + std::to_string(index % 3 + 1));
    this->sessionPorts.push_back(takePort());
    settings.sessions = { loopback, this->sessionPorts.back() };
    settings.ready = { loopback, takePort() };
    settings.peers = { loopback, takePort() };
    this->peerEndpoints.push_back(settings.peers);
    // As on the platform, the first instances are known to those that come after them.
    settings.seeds = this->peerEndpoints;
    settings.metrics = { loopback, takePort() };
    this->metricsEndpoints.push_back(settings.metrics);
    settings.store = this->site.openDoor(failure);
    settings.promotion = settings.store;
    return settings;
}

std::string GatewayBench::readMetrics(std::size_t index) const
{
    httplib::Client client(loopback, this->metricsEndpoints[index].port);
    httplib::Result result = client.Get("/metrics");
    return result ? result->body : "";
}

bool GatewayBench::waitServed(const std::string& database)
{
    return waitUntil([&] {
        for (std::uint16_t port : this->sessionPorts) {
            LineCaller caller(port, database);
            if (caller.getStartupResponse() != "READY I -" || caller.execute("READ warmup").find("DONE sig.") == std::string::npos)
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
