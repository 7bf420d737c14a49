#pragma once

#include "../net/PortOpener.h"
#include "../net/WebSocketServer.h"
#include "../traffic/TrafficPlane.h"
#include "GatewayControl.h"
#include "GatewaySettings.h"
#include "lentiljunction/core/EventLoop.h"
#include "lentiljunction/metrics/GatewayMetrics.h"

#include <functional>
#include <memory>

namespace lentiljunction {

/// One gateway instance: accepts the sessions of callers and executes their statements on groups of upstreams.
///
/// Uses two threads: one for control (store, other instances, failovers, readiness) and one for the
/// traffic of callers and upstreams.
///
/// @see Instance, which serves the product's own protocols
class GatewayInstance : private TrafficPlane::Listener {
public:
    /// Creates the store.
    using StoreFactory = std::function<std::unique_ptr<FleetStore>(EventLoop& controlLoop, const GatewaySettings& settings)>;

    /// @param protocol the protocol of callers and upstreams; must outlive this object
    /// @param clock must outlive this object
    GatewayInstance(const GatewaySettings& settings, const Clock& clock, const SessionProtocol& protocol, const StoreFactory& makeStore);
    ~GatewayInstance() override;

    /// Opens the ports. Ports that cannot be opened are tried again while the instance runs; it is not ready before the
    /// ports for callers and for other instances are open.
    void start();

    /// Starts the threads, after start(). Can be tried again after a failure.
    ///
    /// @param failure set when the system grants no thread
    /// @returns whether all threads run
    bool startThreads(Failure& failure);

    /// Reports to the load balancer that the instance is not ready, lets open transactions end within the
    /// grace period, and stops. The threads must run.
    void drain();

private:
    /// Serves HTTP requests: for readiness, or for metrics and explanations of routes.
    class HttpPage : private WebSocketServer::Listener {
    public:
        /// Sends the response; may be called later, exactly once.
        using Responder = std::function<void(const HttpResponse&)>;
        using Handler = std::function<void(const HttpRequest& request, const Responder& respond)>;
        HttpPage(EventLoop& loop, Handler handler);
        bool listen(const Endpoint& endpoint, Failure& failure) { return this->server.listen(endpoint, failure); }

    private:
        void onSessionOpened(WebSocketServer::Handle handle, const std::string&) override { this->server.close(handle); }
        void onSessionMessage(WebSocketServer::Handle, const std::string&, bool) override { }
        void onSessionClosed(WebSocketServer::Handle) override { }
        void onHttpRequest(WebSocketServer::Handle handle, const HttpRequest& request) override
        {
            this->handler(request, [this, handle](const HttpResponse& response) { this->server.respond(handle, response); });
        }

        WebSocketServer server;
        Handler handler;
    };

    void onPrimaryUnreachable(const GroupId& group, const UpstreamId& primary) override;
    void onNewerTerm(const GroupId& group, const UpstreamId& upstream, Term term) override { this->control.onNewerTerm(group, upstream, term); }
    void openPorts();
    /// Makes no further attempt to open ports.
    void stopOpeningPorts();
    std::vector<PortOpener*> listControlPorts() { return { &this->peersPort, &this->readinessPort, &this->metricsPort }; }
    std::vector<PortOpener*> listTrafficPorts();
    std::size_t countClosedPorts();
    HttpResponse makeReadinessResponse() const;
    void respondWithMetrics(const HttpPage::Responder& respond);
    void respondWithRoute(const HttpRequest& request, const HttpPage::Responder& respond);
    /// Stops the traffic if it is idle or must be stopped.
    ///
    /// @returns the sessions that were busy and loans that were in use
    std::size_t stopTraffic(bool mustStop);
    /// Tells the other instances that this one has left, so that no majority is asked of it. Call it after the traffic stopped.
    void unregister();

    GatewaySettings settings;
    EventLoop controlLoop;
    EventLoop trafficLoop;
    GatewayMetrics metrics;
    std::unique_ptr<FleetStore> store;
    TrafficPlane traffic;
    GatewayControl control;
    HttpPage readiness;
    HttpPage metricsPage;
    PortOpener sessionsPort;
    PortOpener peersPort;
    PortOpener readinessPort;
    PortOpener metricsPort;
    /// Empty when this instance neither lends nor borrows.
    std::unique_ptr<PortOpener> lendingPort;
    /// Empty when limits are not enforced.
    std::unique_ptr<PortOpener> quotaPort;
    std::atomic<bool> isDraining { false };
};

} // namespace lentiljunction
