#pragma once

#include "GateService.h"
#include "lentiljunction/admission/LoadShedder.h"
#include "lentiljunction/admission/RetryBudget.h"
#include "lentiljunction/caller/Request.h"
#include "lentiljunction/metrics/Metrics.h"
#include "lentiljunction/routing/AttemptPolicy.h"
#include "lentiljunction/routing/ReadRouter.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace lentiljunction {

/// Handles each caller's request from its arrival until it is answered exactly once.
///
/// Chooses an upstream and its gate, sends the request there, and lets AttemptPolicy decide whether
/// the result of an attempt is answered or retried. Responses are matched by hop number. Each attempt
/// has its own number, so a late or duplicate response to an earlier attempt is ignored.
///
/// Belongs to the traffic thread.
class RequestFlow {
public:
    using ResponseHandler = std::function<void(const CallerResponse& answer)>;

    /// Sends requests to gates.
    class GateChannel {
    public:
        virtual ~GateChannel() = default;

        /// @returns false when the request certainly did not leave this instance
        virtual bool sendToGate(const InstanceId& gate, const HopRequest& hop) = 0;

        /// @returns whether the instance was recently unreachable
        virtual bool isAvoided(const InstanceId& gate) const = 0;
    };

    /// @param loop the traffic loop; must outlive this object
    /// @param clock the source of time; must outlive this object
    /// @param metrics counts outcomes; must outlive this object
    /// @param channel sends requests to gates; must outlive this object
    /// @param zone the zone of this instance
    /// @param seed for random choices and for hop numbers; no two instances may share it
    RequestFlow(Scheduler& loop, const Clock& clock, Metrics& metrics, GateChannel& channel, const ZoneId& zone, std::uint64_t seed);

    /// Applies a newer bundle.
    void setBundle(std::shared_ptr<const Bundle> newBundle);

    /// Applies a newer gate map.
    void setGates(std::shared_ptr<const GateMap> newGates) { this->gates = std::move(newGates); }

    /// Sets the upstreams that are leaving.
    void setLeaving(std::set<UpstreamId> newLeaving) { this->leaving = std::move(newLeaving); }

    /// Refuses new requests from now on.
    void stopAccepting() { this->isStopped = true; }

    /// Runs a request.
    ///
    /// @param handler called once, on the traffic thread
    void run(Request request, ResponseHandler handler);

    /// Processes a gate's response.
    void onHopAnswer(HopResponse answer);

    /// Ends the attempts that wait for an instance whose link was lost.
    ///
    /// @param unsentHops the hops that certainly were not sent
    void onPeerLost(const InstanceId& instance, const std::vector<std::uint64_t>& unsentHops);

    /// Records a new primary, and retries keyed writes that wait for a response of another upstream.
    void onPrimaryNotice(const DatabaseId& database, const PrimaryHint& hint);

    /// The interval at which onTick() must be called.
    static constexpr Duration tickInterval = std::chrono::milliseconds(5);

    /// Answers requests whose deadline passed, and measures how late the traffic thread runs.
    void onTick();

    /// @returns the number of requests without a response
    std::size_t getNumInFlight() const { return this->flows.size(); }

private:
    /// A caller's request without a response, with the state of its current attempt.
    struct Flow {
        Flow(Request newRequest, ResponseHandler newHandler, AttemptPolicy newPolicy)
            : request(std::move(newRequest))
            , handler(std::move(newHandler))
            , policy(newPolicy)
        {
        }

        Request request;
        ResponseHandler handler;
        AttemptPolicy policy;
        TimePoint arrivedAt;
        TimePoint deadline;
        std::uint64_t hop = 0;
        InstanceId gate;
        UpstreamId upstream;
        TimePoint sentAt;
        std::size_t numAttempts = 0;
        std::vector<UpstreamId> readOrder;
        std::size_t readIndex = 0;
        std::optional<PrimaryReadCause> primaryCause;
    };

    using FlowId = std::uint64_t;

    std::optional<Outcome> check(const Request& request) const;
    void attempt(FlowId id);
    bool chooseTarget(Flow& flow);
    bool chooseForTransaction(Flow& flow);
    void chooseForRead(Flow& flow, const DatabaseConfig& database);
    void chooseForWrite(Flow& flow, const DatabaseConfig& database);
    InstanceId chooseGate(const UpstreamId& upstream) const;
    void onResult(FlowId id, const AttemptResult& result);
    void tryPrimaryNext(Flow& flow);
    void recordReadResult(Flow& flow, const HopResponse& answer);
    void respond(FlowId id, Outcome outcome, const std::optional<LogPoint>& point, const TransactionId& transaction);
    void updatePrimaryHint(const DatabaseId& database, const PrimaryHint& hint);
    HopRequest makeHop(const Flow& flow) const;

    Scheduler& loop;
    const Clock& clock;
    Metrics& metrics;
    GateChannel& channel;
    ReadRouter router;
    RetryBudget budget;
    LoadShedder shedder;
    std::shared_ptr<const Bundle> bundle;
    std::shared_ptr<const GateMap> gates;
    std::set<UpstreamId> leaving;
    std::map<DatabaseId, PrimaryHint> hints;
    std::map<FlowId, std::unique_ptr<Flow>> flows;
    std::map<std::uint64_t, FlowId> hops;
    FlowId nextFlow = 1;
    std::uint64_t nextHop;
    bool isStopped = false;
};

} // namespace lentiljunction
