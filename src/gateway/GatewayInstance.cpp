#include "GatewayInstance.h"

#include "../fleet/MeteredFleetStore.h"
#include "RouteExplanationCodec.h"

#include "lentiljunction/core/HandlerGuard.h"
#include "lentiljunction/core/Json.h"
#include "lentiljunction/core/LogEvents.h"

#include <algorithm>
#include <future>
#include <limits>
#include <sys/resource.h>
#include <thread>

namespace lentiljunction {

namespace {

    constexpr int httpOk = 200;
    constexpr std::size_t bytesPerMebibyte = 1U << 20;
    constexpr int httpBadRequest = 400;
    constexpr int httpNotFound = 404;
    constexpr int httpUnavailable = 503;
    /// The load balancer probes once a second and removes an instance after two failures. The instance serves
    /// sessions that arrive before that.
    constexpr std::chrono::milliseconds balancerRemovalDelay { 2300 };
    /// Open transactions may use the first half of the grace period.
    constexpr int transactionGraceDivisor = 2;
    constexpr std::chrono::milliseconds drainPollInterval { 50 };
    /// Fits in the last sixth of the grace period, which the drain leaves.
    constexpr std::chrono::milliseconds unregisterTimeout { 500 };

    DescriptorBudget makeDescriptorBudget(const GatewaySettings& settings)
    {
        rlimit limit {};
        if (!settings.maximumDescriptors && ::getrlimit(RLIMIT_NOFILE, &limit) != 0)
            return DescriptorBudget(std::numeric_limits<std::size_t>::max());
        return DescriptorBudget(settings.maximumDescriptors.value_or(limit.rlim_cur));
    }

    bool isRouteQuestion(const HttpRequest& request)
    {
        return request.path.substr(0, request.path.find('?')) == routeExplanationPath;
    }

    /// A database's name in a question may be invalid as UTF-8, for which dump() throws by default.
    std::string toText(const nlohmann::json& document)
    {
        return toJsonText(document) + "\n";
    }

    HttpResponse makeFailureResponse(const Failure& failure)
    {
        int status = failure.kind == Failure::Kind::NotFound ? httpNotFound : failure.kind == Failure::Kind::Unavailable ? httpUnavailable
                                                                                                                         : httpBadRequest;
        return { status, "application/json", toText({ { "error", failure.reason } }) };
    }

} // namespace

GatewayInstance::HttpPage::HttpPage(EventLoop& loop, Handler handler)
    : server(loop, *this, pageLimits)
    , handler(std::move(handler))
{
}

GatewayInstance::GatewayInstance(const GatewaySettings& settings, const Clock& clock, const SessionProtocol& protocol, const StoreFactory& makeStore)
    : settings(settings)
    , store(std::make_unique<MeteredFleetStore>(makeStore(this->controlLoop, settings), clock, this->metrics))
    , traffic(this->trafficLoop, clock, protocol, this->metrics, settings.instance, settings.zone, *this)
    , control({ this->controlLoop, this->trafficLoop, clock, protocol, *this->store, this->traffic }, settings)
    , readiness(this->controlLoop, [this](const HttpRequest&, const HttpPage::Responder& respond) { respond(this->makeReadinessResponse()); })
    , metricsPage(this->controlLoop, [this](const HttpRequest& request, const HttpPage::Responder& respond) {
        if (isRouteQuestion(request))
            this->respondWithRoute(request, respond);
        else
            this->respondWithMetrics(respond);
    })
    , sessionsPort(
          this->trafficLoop, clock, "sessions", [this](Failure& failure) { return this->traffic.listen(this->settings.sessions, failure); }, [] {})
    , peersPort(
          this->controlLoop, clock, "peers", [this](Failure& failure) { return this->control.listen(failure); }, [this] { this->control.registerInstance(); })
    , readinessPort(
          this->controlLoop, clock, "ready", [this](Failure& failure) { return this->readiness.listen(this->settings.ready, failure); }, [] {})
    , metricsPort(
          this->controlLoop, clock, "metrics", [this](Failure& failure) { return this->metricsPage.listen(this->settings.metrics, failure); }, [] {})
{
    if (settings.lending)
        this->lendingPort = std::make_unique<PortOpener>(
            this->trafficLoop, clock, "lending", [this](Failure& failure) { return this->traffic.listenForBorrowers(*this->settings.lending, failure); }, [this] { this->control.setLending(*this->settings.lending); });
    if (settings.quota)
        this->quotaPort = std::make_unique<PortOpener>(
            this->trafficLoop, clock, "quota", [this](Failure& failure) { return this->traffic.listenForQuota(*this->settings.quota, failure); }, [this] { this->control.setQuota(*this->settings.quota); });
}

GatewayInstance::~GatewayInstance()
{
    this->controlLoop.stop();
    this->trafficLoop.stop();
}

void GatewayInstance::start()
{
    this->traffic.setDescriptorBudget(makeDescriptorBudget(this->settings));
    if (this->settings.maximumMemory)
        this->traffic.setMemoryBudget(MemoryBudget(*this->settings.maximumMemory * bytesPerMebibyte));
    if (this->settings.ejectsUpstreams)
        this->traffic.ejectFailingUpstreams();
    if (this->settings.discoversCapacity)
        this->traffic.discoverCapacity();
    if (this->settings.lending)
        this->traffic.borrowConnections();
    if (this->settings.quota)
        this->traffic.enforceQuota(this->settings.quotaTolerance, this->settings.instance, this->settings.zone);
    this->traffic.start();
    this->openPorts();
    this->control.start();
}

bool GatewayInstance::startThreads(Failure& failure)
{
    // An instance that reports to be ready must serve.
    return this->trafficLoop.tryStart("traffic", failure) && this->controlLoop.tryStart("control", failure);
}

void GatewayInstance::openPorts()
{
    // The port for other instances comes last, so that the first registration has all addresses.
    for (PortOpener* port : this->listTrafficPorts())
        port->start();
    this->readinessPort.start();
    this->metricsPort.start();
    this->peersPort.start();
}

void GatewayInstance::stopOpeningPorts()
{
    this->trafficLoop.post([this] {
        for (PortOpener* port : this->listTrafficPorts())
            port->stop();
    });
    this->controlLoop.post([this] {
        for (PortOpener* port : this->listControlPorts())
            port->stop();
    });
}

std::vector<PortOpener*> GatewayInstance::listTrafficPorts()
{
    std::vector<PortOpener*> ports { &this->sessionsPort };
    for (PortOpener* port : { this->lendingPort.get(), this->quotaPort.get() }) {
        if (port != nullptr)
            ports.push_back(port);
    }
    return ports;
}

std::size_t GatewayInstance::countClosedPorts()
{
    std::vector<PortOpener*> ports = this->listTrafficPorts();
    std::vector<PortOpener*> controlPorts = this->listControlPorts();
    ports.insert(ports.end(), controlPorts.begin(), controlPorts.end());
    return static_cast<std::size_t>(std::count_if(ports.begin(), ports.end(), [](const PortOpener* port) { return !port->isOpen(); }));
}

HttpResponse GatewayInstance::makeReadinessResponse() const
{
    bool isReachable = this->sessionsPort.isOpen() && this->peersPort.isOpen();
    bool isReady = isReachable && this->control.isReady() && this->traffic.isQuotaReady() && !this->isDraining;
    return { isReady ? httpOk : httpUnavailable, "text/plain", isReady ? "ready\n" : "not ready\n" };
}

void GatewayInstance::respondWithMetrics(const HttpPage::Responder& respond)
{
    GatewayMetrics::KnownState knownState = this->control.getKnownState();
    knownState.numClosedPorts = this->countClosedPorts();
    knownState.numHandlerFailures = HandlerGuard::getNumFailures();
    this->metrics.setKnownState(knownState);
    this->trafficLoop.post([this, respond] {
        this->traffic.updateMetrics();
        this->controlLoop.post([this, respond] { respond({ httpOk, "text/plain; version=0.0.4", this->metrics.render() }); });
    });
}

void GatewayInstance::respondWithRoute(const HttpRequest& request, const HttpPage::Responder& respond)
{
    Failure failure;
    std::optional<RouteQuestion> question = parseRouteQuestion(request.path, failure);
    if (!question)
        return respond(makeFailureResponse(failure));
    this->trafficLoop.post([this, question = *question, respond] {
        Failure unanswered;
        std::optional<RouteExplanation> answer = this->traffic.explainRoute(question, unanswered);
        this->controlLoop.post([this, answer, unanswered, respond] {
            if (!answer)
                return respond(makeFailureResponse(unanswered));
            nlohmann::json document = toJson(*answer);
            document["instance"] = this->settings.instance.toString();
            respond({ httpOk, "application/json", toText(document) });
        });
    });
}

void GatewayInstance::onPrimaryUnreachable(const GroupId& group, const UpstreamId& primary)
{
    this->control.onPrimaryUnreachable(group, primary);
}

std::size_t GatewayInstance::stopTraffic(bool mustStop)
{
    std::promise<std::size_t> counted;
    // The port stays open until the traffic stops, so a statement may arrive right after the count.
    this->trafficLoop.post([this, mustStop, &counted] {
        std::size_t numBusy = this->traffic.countBusy();
        if (mustStop || numBusy == 0)
            this->traffic.stop();
        counted.set_value(numBusy);
    });
    return counted.get_future().get();
}

void GatewayInstance::unregister()
{
    std::shared_ptr<std::promise<void>> removal = std::make_shared<std::promise<void>>();
    std::future<void> removed = removal->get_future();
    this->control.unregisterInstance([removal] { removal->set_value(); });
    bool isRemoved = removed.wait_for(unregisterTimeout) == std::future_status::ready;
    logEvent(events::instanceUnregistered, "removed=" + std::to_string(isRemoved));
}

void GatewayInstance::drain()
{
    logEvent(events::instanceDraining, "grace_ms=" + std::to_string(this->settings.shutdownGrace.count()));
    this->isDraining = true;
    this->stopOpeningPorts();
    this->trafficLoop.post([this] {
        this->traffic.stopLending();
        this->traffic.stopDecidingQuota();
    });
    std::this_thread::sleep_for(balancerRemovalDelay);
    this->trafficLoop.post([this] { this->traffic.drain(); });

    std::chrono::milliseconds waited = balancerRemovalDelay;
    // The last sixth of the grace period is left for closing the remaining sessions.
    std::chrono::milliseconds drainTimeout = this->settings.shutdownGrace - this->settings.shutdownGrace / 6;
    std::chrono::milliseconds transactionLimit = std::max(balancerRemovalDelay + drainPollInterval * 2, this->settings.shutdownGrace / transactionGraceDivisor + drainPollInterval * 2);
    std::size_t numLeft = 1;
    while (numLeft > 0 && waited < drainTimeout) {
        std::this_thread::sleep_for(drainPollInterval);
        waited += drainPollInterval;
        if (waited >= transactionLimit)
            this->trafficLoop.post([this] { this->traffic.closeIdleTransactions(); });
        numLeft = this->stopTraffic(false);
    }
    if (numLeft > 0)
        numLeft = this->stopTraffic(true);
    // The last responses are sent while the loop still runs.
    std::this_thread::sleep_for(drainPollInterval);
    this->unregister();
    logEvent(events::instanceStopped, "cut_off=" + std::to_string(numLeft));
}

} // namespace lentiljunction
