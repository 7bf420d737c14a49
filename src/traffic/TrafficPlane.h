#pragma once

#include "EvidenceRounds.h"
#include "SessionFlow.h"
#include "TrafficState.h"
#include "lentiljunction/metrics/GatewayMetrics.h"

#include <functional>
#include <memory>
#include <set>

namespace lentiljunction {

/// All sessions of callers and all connections to upstreams of one instance.
///
/// Belongs to the traffic thread. The control thread hands over newer beliefs by posting to the
/// traffic loop.
///
/// @see FleetControl
class TrafficPlane : private UpstreamPool::Listener, private SessionFlow::Listener {
public:
    /// Is told what traffic shows of the upstreams. Called on the traffic thread.
    class Listener {
    public:
        virtual ~Listener() = default;

        /// A fresh connection to the primary of a group failed.
        virtual void onPrimaryUnreachable(const GroupId& group, const UpstreamId& primary) = 0;
    };

    /// @param self this instance, as upstreams are told it
    TrafficPlane(EventLoop& loop, const Clock& clock, const SessionProtocol& protocol, GatewayMetrics& metrics, const InstanceId& self, const ZoneId& zone, Listener& listener);
    ~TrafficPlane() override;

    /// Opens the port for callers.
    bool listen(const Endpoint& endpoint, Failure& failure);

    void setRoutes(std::shared_ptr<const RouteTable> routes);
    void setUpstreams(std::shared_ptr<const UpstreamList> upstreams);
    void setNumInstances(std::size_t number);

    /// Takes a newer belief of who leads. When this returns, no answer of a former primary is passed
    /// on as a success any more.
    void setLead(const LeadView& view);

    /// Takes a longer permit for the belief in force.
    void extendPermit(const LeadView& view) { this->state.setLead(view); }

    /// @returns the newest proof of age of each group, to be handed on to other instances
    std::vector<PositionProofs::Newest> listNewestProofs() const { return this->state.listNewestProofs(); }

    /// Takes proofs of age from another instance.
    void takeProofs(const std::vector<PositionProofs::Newest>& proofs);

    /// Sets the gauges of the upstreams and of the age of the groups' logs.
    void exportFigures() const { this->state.exportFigures(this->metrics); }

    /// Closes sessions as they become idle, and lets the others go on.
    void drain();

    /// Closes sessions whose transaction rests while the caller sends nothing.
    void closeRestingTransactions();

    /// Closes the port and every session that is left.
    void stop();

    /// @returns sessions with a statement or a transaction under way
    std::size_t countBusySessions() const;

private:
    void onUpstreamUnreachable(const UpstreamEntry& upstream, UpstreamLink::Trouble trouble) override;
    void onSessionOver(SessionFlow& session) override;
    void onStatementAnswered(const Route* route, const StatementRequest& request, const StatementRun::Result& result) override;
    void onRefusedLocally(StatementTrouble trouble) override { this->metrics.onRefusedLocally(lentiljunction::toString(trouble)); }
    TcpConnection::Listener& accept(std::unique_ptr<TcpConnection> socket);
    std::vector<SessionFlow*> listSessions() const;
    void tellBeliefs();
    void checkPrimaries();
    void checkPrimary(const GroupId& group);
    void checkPrimaryWithoutPermit(const GroupId& group);
    void askHead(UpstreamLink& link, const GroupId& group, const Leader& leader);
    void countAnswer(const Route& route, const StatementRequest& request, const StatementRun::Result& result);

    EventLoop& loop;
    const Clock& clock;
    const SessionProtocol& protocol;
    GatewayMetrics& metrics;
    Listener& listener;
    TrafficState state;
    EvidenceRounds evidence;
    TcpServer port;
    OneShotTimer checkTimer;
    std::map<SessionFlow*, std::unique_ptr<SessionFlow>> sessions;
    bool isDraining = false;
};

} // namespace lentiljunction
