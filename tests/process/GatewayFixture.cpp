#include "GatewayFixture.h"

#include "../../tools/lab/Cluster.h"

#include <httplib.h>
#include <thread>

// The macros of the test framework break standard headers that follow them.
#include <CppUTest/TestHarness.h>

namespace lentiljunction {

using lab::LineCaller;

namespace {

    constexpr const char* loopback = "127.0.0.1";
    constexpr std::chrono::seconds waitTimeout { 30 };

    std::uint16_t findPort()
    {
        return static_cast<std::uint16_t>(lab::findFreePort());
    }

} // namespace

bool waitUntil(const std::function<bool()>& condition)
{
    std::chrono::steady_clock::time_point giveUpAt = std::chrono::steady_clock::now() + waitTimeout;
    while (std::chrono::steady_clock::now() < giveUpAt) {
        if (condition())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
}

GatewayFixture::GatewayFixture(int numInstances, bool ejectsUpstreams, bool enforcesLimits)
    : ejectsUpstreams(ejectsUpstreams)
    , enforcesLimits(enforcesLimits)
    , site(findPort)
{
    Failure failure;
    this->site.start(failure);
    this->configure(1, { "bookings" });
    for (int index = 0; index < numInstances; index++)
        this->startInstance();
    this->isRunning = true;
}

std::size_t GatewayFixture::startInstance()
{
    std::size_t index = this->instances.size();
    this->settingsOfInstances.push_back(this->makeSettings(index));
    this->instances.push_back(this->start(this->settingsOfInstances.back()));
    return index;
}

void GatewayFixture::restart(std::size_t index)
{
    this->instances[index] = this->start(this->settingsOfInstances[index]);
}

std::unique_ptr<GatewayInstance> GatewayFixture::start(const GatewaySettings& settings)
{
    std::unique_ptr<GatewayInstance> instance = std::make_unique<GatewayInstance>(settings, this->clock, this->adapter.getProtocol(), [this](EventLoop& controlLoop, const GatewaySettings& given) {
        return this->adapter.makeStore(controlLoop, given);
    });
    instance->start();
    Failure threadFailure;
    CHECK_TEXT(instance->startThreads(threadFailure), threadFailure.reason.c_str());
    return instance;
}

std::optional<std::size_t> GatewayFixture::findCoordinator() const
{
    std::optional<std::size_t> found;
    for (std::size_t index = 0; index < this->instances.size(); index++) {
        bool isCoordinator = this->instances[index] != nullptr && this->readMetrics(index).find("lentiljunction_belief{fact=\"holds_duty\"} 1") != std::string::npos;
        if (isCoordinator && found)
            return std::nullopt;
        if (isCoordinator)
            found = index;
    }
    return found;
}

GatewayFixture::~GatewayFixture()
{
    this->instances.clear();
}

GatewaySettings GatewayFixture::makeSettings(std::size_t index)
{
    Failure failure;
    GatewaySettings settings;
    settings.instance = InstanceId("front-" + std::to_string(index + 1));
    settings.ejectsUpstreams = this->ejectsUpstreams;
    settings.discoversCapacity = this->ejectsUpstreams;
    settings.zone = ZoneId("z" + std::to_string(index % 3 + 1));
    this->sessionPorts.push_back(findPort());
    settings.sessions = { loopback, this->sessionPorts.back() };
    settings.ready = { loopback, findPort() };
    settings.peers = { loopback, findPort() };
    this->peerEndpoints.push_back(settings.peers);
    // As on the platform, each instance knows the instances that were started before it.
    settings.seeds = this->peerEndpoints;
    if (this->enforcesLimits)
        settings.quota = Endpoint { loopback, findPort() };
    settings.metrics = { loopback, findPort() };
    this->metricsEndpoints.push_back(settings.metrics);
    settings.store = this->site.openStorePort(failure);
    settings.promotion = settings.store;
    settings.isFirstStart = !this->isRunning;
    settings.maximumMemory = this->maximumMemory;
    return settings;
}

std::string GatewayFixture::readMetrics(std::size_t index) const
{
    httplib::Client client(loopback, this->metricsEndpoints[index].port);
    httplib::Result result = client.Get("/metrics");
    return result ? result->body : "";
}

bool GatewayFixture::waitUntilServed(const std::string& database)
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

void GatewayFixture::drain(std::size_t index)
{
    this->instances[index]->drain();
    this->instances[index].reset();
}

} // namespace lentiljunction
