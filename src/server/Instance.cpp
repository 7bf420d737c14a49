#include "Instance.h"

#include "../caller/CallerServer.h"
#include "../execution/PostgresConnection.h"
#include "../peer/PeerNetwork.h"
#include "../store/HttpPlatformStore.h"
#include "ControlPlane.h"
#include "GateService.h"
#include "RequestFlow.h"
#include "lentiljunction/core/Json.h"
#include "lentiljunction/core/LogEvents.h"

#include <atomic>
#include <future>
#include <random>
#include <thread>
#include <utility>

namespace lentiljunction {

namespace {

    constexpr Duration peerTickInterval = std::chrono::milliseconds(20);
    constexpr Duration activityReportInterval = std::chrono::milliseconds(100);
    constexpr std::chrono::milliseconds drainPollInterval { 10 };
    /// Time for the sockets to write the last responses before the threads end.
    constexpr std::chrono::milliseconds socketFlushTime { 50 };
    constexpr const char* trafficUser = "lentiljunction";
    constexpr const char* controlUser = "lentiljunction_control";

    /// Creates PostgreSQL connections of one user on one event loop.
    class PostgresConnector : public SqlConnector {
    public:
        PostgresConnector(EventLoop& loop, const Settings& settings, std::string user)
            : loop(loop)
            , user(std::move(user))
            , applicationName("zone=" + settings.zone.toString() + ";instance=" + settings.instance.toString())
        {
        }

        std::unique_ptr<SqlConnection> create(const UpstreamConfig& upstream) override
        {
            PostgresIdentity identity { this->user, "main", this->applicationName };
            return std::make_unique<PostgresConnection>(this->loop, Endpoint { upstream.host, upstream.port }, identity);
        }

    private:
        EventLoop& loop;
        std::string user;
        std::string applicationName;
    };

} // namespace

/// Connects the modules. Handlers pass data between the control and the traffic thread by posting.
class Instance::Implementation : private CallerServer::Listener,
                                 private PeerNetwork::Listener,
                                 private RequestFlow::GateChannel,
                                 private ControlPlane::Listener {
public:
    Implementation(const Settings& settings, const Clock& clock)
        : settings(settings)
        , clock(clock)
        , trafficConnector(this->trafficLoop, settings, trafficUser)
        , controlConnector(this->controlLoop, settings, controlUser)
        , store(settings.store, "zone=" + settings.zone.toString() + ";instance=" + settings.instance.toString(), &this->metrics)
        , peers(this->trafficLoop, clock, Member { settings.instance, settings.zone, settings.advertised, MemberState::Alive, Incarnation() }, *this)
        , flow(this->trafficLoop, clock, this->metrics, *this, settings.zone, std::random_device()())
        , gates(UpstreamGate::Dependencies { this->trafficLoop, clock, this->metrics, this->trafficConnector, settings.instance, [this](const DatabaseId& database) { this->requestFastProbes(database); } })
        , controlPlane(ControlPlane::Dependencies { this->controlLoop, clock, this->metrics, this->controlConnector, this->store }, settings, *this)
        , callers(this->trafficLoop, settings.workers, *this)
    {
    }

    bool start(Failure& failure)
    {
        if (!this->callers.listen(this->settings.callers, failure) || !this->peers.listen(this->settings.peers, failure))
            return false;

        this->trafficLoop.repeat(RequestFlow::tickInterval, [this] { this->onTrafficTick(); });
        this->trafficLoop.repeat(peerTickInterval, [this] { this->onPeerTick(); });
        this->trafficLoop.repeat(activityReportInterval, [this] { this->reportActivity(); });
        this->controlLoop.post([this] { this->controlPlane.start(); });
        this->trafficLoop.start();
        this->controlLoop.start();
        return true;
    }

    bool drain()
    {
        logEvent(events::instanceDraining, "");
        this->isAccepting = false;
        this->controlLoop.post([this] { this->controlPlane.leave(); });
        std::this_thread::sleep_for(this->settings.drainGrace);
        this->trafficLoop.post([this] { this->flow.stopAccepting(); });

        TimePoint giveUpAt = this->clock.now() + this->settings.drainTimeout;
        bool isIdle = this->isTrafficIdle();
        while (!isIdle && this->clock.now() < giveUpAt) {
            std::this_thread::sleep_for(drainPollInterval);
            isIdle = this->isTrafficIdle();
        }
        std::this_thread::sleep_for(socketFlushTime);
        this->shutDown();
        logEvent(events::instanceStopped, std::string("finished=") + (isIdle ? "yes" : "no"));
        return isIdle;
    }

    void shutDown()
    {
        this->controlLoop.stop();
        this->controlPlane.stop();
        this->trafficLoop.stop();
    }

private:
    // CallerServer::Listener, on the traffic thread.

    void onRequest(Request request, CallerServer::ResponseHandler handler) override { this->flow.run(std::move(request), std::move(handler)); }
    bool isReady() override { return this->isServing && this->isAccepting; }
    std::string getMetrics() override { return this->metrics.render(); }

    void describe(CallerServer::TextHandler handler) override
    {
        this->controlLoop.post([this, handler = std::move(handler)] {
            std::string text = toJsonText(this->controlPlane.describe(), 2) + "\n";
            this->trafficLoop.post([handler, text] { handler(text); });
        });
    }

    // PeerNetwork::Listener, on the traffic thread.

    void onPeerMessage(const InstanceId& from, const PeerMessage& message) override
    {
        if (const HopRequest* hop = std::get_if<HopRequest>(&message)) {
            this->gates.execute(*hop, [this, from](const HopResponse& answer) { this->peers.send(from, answer); });
            return;
        }
        if (const HopResponse* answer = std::get_if<HopResponse>(&message)) {
            this->flow.onHopAnswer(*answer);
            return;
        }
        this->controlLoop.post([this, from, message] { this->controlPlane.onPeerMessage(from, message); });
    }

    void onPeerLost(const InstanceId& instance, const std::vector<std::uint64_t>& unsentHops) override
    {
        this->flow.onPeerLost(instance, unsentHops);
    }

    // RequestFlow::GateChannel, on the traffic thread.

    bool sendToGate(const InstanceId& gate, const HopRequest& hop) override
    {
        if (gate != this->settings.instance)
            return this->peers.send(gate, hop);

        this->gates.execute(hop, [this](const HopResponse& answer) {
            this->trafficLoop.post([this, answer] { this->flow.onHopAnswer(answer); });
        });
        return true;
    }

    bool isAvoided(const InstanceId& gate) const override { return this->peers.isAvoided(gate); }

    // ControlPlane::Listener, on the control thread.

    void onBundle(std::shared_ptr<const Bundle> bundle) override
    {
        this->trafficLoop.post([this, bundle] {
            this->flow.setBundle(bundle);
            this->gates.setBundle(bundle);
            this->callers.setLimits(bundle->limits);
        });
    }

    void onMembers(std::shared_ptr<const MemberList> members) override
    {
        this->trafficLoop.post([this, members] { this->peers.setMembers(members); });
    }

    void onGates(std::shared_ptr<const GateMap> newGates) override
    {
        this->trafficLoop.post([this, newGates] {
            this->flow.setGates(newGates);
            this->gates.setGates(newGates);
        });
    }

    void onLeavingUpstreams(std::set<UpstreamId> leaving) override
    {
        this->trafficLoop.post([this, leaving] {
            this->flow.setLeaving(leaving);
            this->gates.setLeaving(leaving);
        });
    }

    void onUpstreamStatus(const DatabaseId& database, const UpstreamId& upstream, const UpstreamStatus& status, TimePoint requestedAt) override
    {
        this->trafficLoop.post([this, database, upstream, status, requestedAt] { this->gates.onStatus(database, upstream, status, requestedAt); });
    }

    void onPrimaryReachabilityChanged(const DatabaseId& database, bool isReachable) override
    {
        this->trafficLoop.post([this, database, isReachable] { this->gates.onPrimaryReachable(database, isReachable); });
    }

    void onNewPrimary(const DatabaseId& database, const PrimaryHint& hint) override
    {
        this->trafficLoop.post([this, database, hint] { this->flow.onPrimaryNotice(database, hint); });
    }

    void onReady() override { this->isServing = true; }

    void sendToPeer(const InstanceId& to, PeerMessage message) override
    {
        this->trafficLoop.post([this, to, message = std::move(message)] { this->peers.send(to, message); });
    }

    void requestFastProbes(const DatabaseId& database)
    {
        this->controlLoop.post([this, database] { this->controlPlane.startFastProbing(database); });
    }

    void onTrafficTick()
    {
        this->gates.onTick();
        this->flow.onTick();
    }

    void onPeerTick()
    {
        this->peers.onTick();
        this->metrics.setInFlight(static_cast<double>(this->flow.getNumInFlight()));
        this->metrics.setControlBytes(static_cast<double>(this->peers.getControlBytesSent()));
    }

    void reportActivity()
    {
        std::vector<DatabaseId> active = this->gates.takeActiveGroups();
        if (!active.empty())
            this->controlLoop.post([this, active] { this->controlPlane.setActive(active); });
    }

    bool isTrafficIdle()
    {
        std::shared_ptr<std::promise<bool>> idle = std::make_shared<std::promise<bool>>();
        std::future<bool> result = idle->get_future();
        this->trafficLoop.post([this, idle] { idle->set_value(this->callers.getNumUnanswered() == 0 && this->flow.getNumInFlight() == 0 && this->gates.isIdle()); });
        return result.get();
    }

    Settings settings;
    const Clock& clock;
    Metrics metrics;
    EventLoop trafficLoop;
    EventLoop controlLoop;
    PostgresConnector trafficConnector;
    PostgresConnector controlConnector;
    HttpPlatformStore store;
    PeerNetwork peers;
    RequestFlow flow;
    GateService gates;
    ControlPlane controlPlane;
    CallerServer callers;
    std::atomic<bool> isServing { false };
    std::atomic<bool> isAccepting { true };
};

Instance::Instance(const Settings& settings, const Clock& clock)
    : implementation(std::make_unique<Implementation>(settings, clock))
{
}

Instance::~Instance()
{
    this->implementation->shutDown();
}

bool Instance::start(Failure& failure)
{
    return this->implementation->start(failure);
}

bool Instance::drain()
{
    return this->implementation->drain();
}

} // namespace lentiljunction
