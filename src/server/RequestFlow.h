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

/// Takes each caller's request from its arrival to its one answer.
///
/// Chooses an upstream and its gate, sends the request there, and decides by AttemptPolicy whether
/// an attempt's end is the answer. Answers are matched by the number of the hop, which is used
/// once, so a late or repeated answer of an earlier attempt finds nobody.
///
/// Belongs to the traffic thread.
class RequestFlow {
public:
    using AnswerHandler = std::function<void(const CallerResponse& answer)>;

    /// Carries requests to gates.
    class GateChannel {
    public:
        virtual ~GateChannel() = default;

        /// @returns false when the request certainly did not leave this instance
        virtual bool sendToGate(const InstanceId& gate, const HopRequest& hop) = 0;

        /// @returns whether the instance could not be reached a moment ago
        virtual bool isAvoided(const InstanceId& gate) const = 0;
    };

    /// @param loop the traffic loop; must outlive this object
    /// @param clock the source of time; must outlive this object
    /// @param metrics counts outcomes; must outlive this object
    /// @param channel carries requests; must outlive this object
    /// @param zone the zone of this instance
    /// @param seed for draws and for the numbers of hops; no two instances may share it
    RequestFlow(Scheduler& loop, const Clock& clock, Metrics& metrics, GateChannel& channel, const ZoneId& zone, std::uint64_t seed);

    /// Takes a newer bundle.
    void setBundle(std::shared_ptr<const Bundle> newBundle);

    /// Takes a newer member list.
    void setGates(std::shared_ptr<const GateMap> newGates) { this->gates = std::move(newGates); }

    /// Takes the upstreams that leave.
    void setLeaving(std::set<UpstreamId> newLeaving) { this->leaving = std::move(newLeaving); }

    /// Refuses new requests from now on.
    void stopAccepting() { this->isStopped = true; }

    /// Runs a request.
    ///
    /// @param handler called once, on the traffic thread
    void run(Request request, AnswerHandler handler);

    /// Takes a gate's answer.
    void onHopAnswer(HopResponse answer);

    /// Notes that answers of an instance will not come.
    void onPeerLost(const InstanceId& instance, const std::vector<std::uint64_t>& unsentHops);

    /// Takes news of a primary; repeats keyed writes that wait for an older one.
    void onPrimaryNotice(const DatabaseId& database, const PrimaryHint& hint);

    /// The interval at which onTick is to be called.
    static constexpr Duration tickInterval = std::chrono::milliseconds(5);

    /// Answers requests whose deadline passed, and notes how late the thread runs.
    void onTick();

    /// @returns the number of requests without an answer
    std::size_t getNumInFlight() const { return this->flows.size(); }

private:
    struct Flow {
        Flow(Request newRequest, AnswerHandler newHandler, AttemptPolicy newPolicy)
            : request(std::move(newRequest))
            , handler(std::move(newHandler))
            , policy(newPolicy)
        {
        }

        Request request;
        AnswerHandler handler;
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
    void noteRead(Flow& flow, const HopResponse& answer);
    void answer(FlowId id, Outcome outcome, const std::optional<LogPoint>& point, const TransactionId& transaction);
    void learnHint(const DatabaseId& database, const PrimaryHint& hint);
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
