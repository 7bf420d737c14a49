#include "GatewayInstance.h"

#include "../fleet/MeteredFleetStore.h"
#include "RouteExplanationCodec.h"

#include "lentiljunction/core/Json.h"
#include "lentiljunction/core/LogEvents.h"

#include <future>
#include <thread>

namespace lentiljunction {

namespace {

    constexpr int httpOk = 200;
    constexpr int httpBadRequest = 400;
    constexpr int httpNotFound = 404;
    constexpr int httpUnavailable = 503;
    /// The load balancer probes once a second and removes an instance after two failures. The instance serves
    /// sessions that arrive before that.
    constexpr std::chrono::milliseconds balancerRemovalDelay { 2300 };
    /// Open transactions may use the first half of the grace period.
    constexpr int transactionGraceDivisor = 2;
    constexpr std::chrono::milliseconds drainPollInterval { 50 };

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
    : server(loop, *this)
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
{
}

GatewayInstance::~GatewayInstance()
{
    this->controlLoop.stop();
    this->trafficLoop.stop();
}

bool GatewayInstance::start(Failure& failure)
{
    if (this->settings.ejectsUpstreams)
        this->traffic.ejectFailingUpstreams();
    if (this->settings.discoversCapacity)
        this->traffic.discoverCapacity();
    bool isLending = !this->settings.lending || this->traffic.listenForBorrowers(*this->settings.lending, failure);
    bool isDeciding = !this->settings.quota || this->traffic.listenForQuota(*this->settings.quota, this->settings.quotaTolerance, this->settings.instance, this->settings.zone, failure);
    bool isOpen = isLending && isDeciding && this->traffic.listen(this->settings.sessions, failure) && this->readiness.listen(this->settings.ready, failure)
        && this->metricsPage.listen(this->settings.metrics, failure) && this->control.start(failure);
    if (!isOpen)
        return false;
    this->controlLoop.start();
    this->trafficLoop.start();
    return true;
}

HttpResponse GatewayInstance::makeReadinessResponse() const
{
    bool isReady = this->control.isReady() && this->traffic.isQuotaReady() && !this->isDraining;
    return { isReady ? httpOk : httpUnavailable, "text/plain", isReady ? "ready\n" : "not ready\n" };
}

void GatewayInstance::respondWithMetrics(const HttpPage::Responder& respond)
{
    this->metrics.setKnownState(this->control.getKnownState());
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

std::size_t GatewayInstance::countBusy()
{
    std::promise<std::size_t> counted;
    this->trafficLoop.post([this, &counted] { counted.set_value(this->traffic.countBusy()); });
    return counted.get_future().get();
}

void GatewayInstance::drain()
{
    logEvent(events::instanceDraining, "grace_ms=" + std::to_string(this->settings.shutdownGrace.count()));
    this->isDraining = true;
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
    while (waited < drainTimeout) {
        std::this_thread::sleep_for(drainPollInterval);
        waited += drainPollInterval;
        if (waited >= transactionLimit)
            this->trafficLoop.post([this] { this->traffic.closeIdleTransactions(); });
        if (this->countBusy() == 0)
            break;
    }
    std::size_t numLeft = this->countBusy();
    std::promise<void> stopped;
    this->trafficLoop.post([this, &stopped] {
        this->traffic.stop();
        stopped.set_value();
    });
    stopped.get_future().wait();
    // The last responses are sent while the loop still runs.
    std::this_thread::sleep_for(drainPollInterval);
    logEvent(events::instanceStopped, "cut_off=" + std::to_string(numLeft));
}

} // namespace lentiljunction
