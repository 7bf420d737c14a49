#include "lentiljunction/metrics/GatewayMetrics.h"

#include "LabeledGauges.h"
#include "MetricsRegistry.h"

#include <mutex>

namespace lentiljunction {

class GatewayMetrics::Implementation {
public:
    MetricsRegistry registry;
    std::mutex gaugesMutex;
    prometheus::Family<prometheus::Counter>& statements = this->registry.addCounter("lentiljunction_statements_total", "Statements answered, by kind of route, rank, code and upstream");
    prometheus::Family<prometheus::Counter>& failures = this->registry.addCounter("lentiljunction_statement_failures_total", "Statements that did not succeed, by rank and cause");
    prometheus::Family<prometheus::Counter>& retries = this->registry.addCounter("lentiljunction_retries_total", "Statements that went to an upstream again");
    prometheus::Family<prometheus::Counter>& acknowledgedWrites = this->registry.addCounter("lentiljunction_acknowledged_writes_total", "Acknowledged writes, by what the acknowledgement rests on");
    prometheus::Family<prometheus::Counter>& keyRefusals = this->registry.addCounter("lentiljunction_key_refusals_total", "Keys of callers that were not accepted, by reason");
    prometheus::Family<prometheus::Counter>& storeCalls = this->registry.addCounter("lentiljunction_store_calls_total", "Calls to what the instances share, by operation and result");
    prometheus::Family<prometheus::Histogram>& statementTime = this->registry.addHistogram("lentiljunction_statement_seconds", "From the first byte of a statement to its answer, by kind of route and rank");
    prometheus::Family<prometheus::Histogram>& storeTime = this->registry.addHistogram("lentiljunction_store_seconds", "Time of calls to what the instances share, by operation");
    LabeledGauges knownState { this->registry.get(), "lentiljunction_belief", "What the instance believes, by fact" };
    LabeledGauges promotionCalls { this->registry.get(), "lentiljunction_promotion_calls", "Promotion calls since the start, by outcome" };
    LabeledGauges verifications { this->registry.get(), "lentiljunction_primary_verifications", "Verifications of a group's primary since the start, by result" };
    LabeledGauges connections { this->registry.get(), "lentiljunction_upstream_connections", "Open connections to an upstream" };
    LabeledGauges running { this->registry.get(), "lentiljunction_upstream_running", "Statements under way at an upstream" };
    LabeledGauges waiting { this->registry.get(), "lentiljunction_upstream_waiting", "Statements in the queue in front of an upstream" };
    LabeledGauges latency { this->registry.get(), "lentiljunction_upstream_latency_seconds", "Usual time of a statement at an upstream" };
    LabeledGauges lag { this->registry.get(), "lentiljunction_upstream_lag_positions", "Positions from an upstream's log to the newest proved head of its group" };
    LabeledGauges bytes { this->registry.get(), "lentiljunction_upstream_bytes", "Bytes to and from an upstream since the start" };
    LabeledGauges opened { this->registry.get(), "lentiljunction_upstream_opened", "Connections opened to an upstream since the start" };
    LabeledGauges replaced { this->registry.get(), "lentiljunction_upstream_replaced", "Idle connections closed since the start to make room for one of another workspace" };
    LabeledGauges grants { this->registry.get(), "lentiljunction_upstream_grants", "Requests that got a connection since the start" };
    LabeledGauges grantsOfIdle { this->registry.get(), "lentiljunction_upstream_grants_of_idle", "Requests that found an idle connection when they arrived, since the start" };
    LabeledGauges ejected { this->registry.get(), "lentiljunction_upstream_ejected", "Whether reads avoid an upstream because it failed much of its work" };
    LabeledGauges capacity { this->registry.get(), "lentiljunction_upstream_capacity", "Concurrent statements of this instance that an upstream handles well, as discovered" };
    LabeledGauges capacitySamples { this->registry.get(), "lentiljunction_upstream_capacity_samples", "Recent answers on which the discovered capacity is based" };
    LabeledGauges capacityAge { this->registry.get(), "lentiljunction_upstream_capacity_age_seconds", "Time since the last answer on which the discovered capacity is based" };
    LabeledGauges loans { this->registry.get(), "lentiljunction_loans", "Connections to upstreams lent to or borrowed from other instances" };
    LabeledGauges quotaOperations { this->registry.get(), "lentiljunction_quota_operations", "Operations of limited workspaces since the start, by decision" };
    LabeledGauges quotaRefused { this->registry.get(), "lentiljunction_quota_refused", "Refused operations of a workspace since the start" };
    LabeledGauges quotaWaiting { this->registry.get(), "lentiljunction_quota_waiting", "Operations that wait for a decision on their limit" };
    LabeledGauges quotaDelegations { this->registry.get(), "lentiljunction_quota_delegations", "Shares of partitions given to coordinators or received from instances" };
    LabeledGauges freshnessProofAge { this->registry.get(), "lentiljunction_proof_age_seconds", "Age of the newest proof of a group's log" };
};

GatewayMetrics::GatewayMetrics()
    : implementation(std::make_unique<Implementation>())
{
}

GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::onStatement(const Statement& statement)
{
    Implementation& metrics = *this->implementation;
    std::string rank = toString(statement.rank);
    metrics.statements.Add({ { "kind", statement.kind }, { "rank", rank }, { "code", statement.code }, { "upstream", statement.upstream } }).Increment();
    metrics.statementTime.Add({ { "kind", statement.kind }, { "rank", rank } }, secondsBuckets).Observe(toSeconds(statement.total));
    if (!statement.isSuccess)
        metrics.failures.Add({ { "rank", rank }, { "cause", statement.cause } }).Increment();
    if (!statement.basis.empty())
        metrics.acknowledgedWrites.Add({ { "basis", statement.basis } }).Increment();
    if (statement.numRetries > 0)
        metrics.retries.Add({}).Increment(statement.numRetries);
}

void GatewayMetrics::onRefusedLocally(const std::string& cause)
{
    this->implementation->failures.Add({ { "rank", "" }, { "cause", cause } }).Increment();
}

void GatewayMetrics::onKeyRefused(const std::string& reason)
{
    this->implementation->keyRefusals.Add({ { "reason", reason } }).Increment();
}

void GatewayMetrics::onStoreCall(const std::string& operation, const std::string& result, Duration took)
{
    this->implementation->storeCalls.Add({ { "operation", operation }, { "result", result } }).Increment();
    this->implementation->storeTime.Add({ { "operation", operation } }, secondsBuckets).Observe(toSeconds(took));
}

void GatewayMetrics::setKnownState(const KnownState& knownState)
{
    std::lock_guard<std::mutex> lock(this->implementation->gaugesMutex);
    LabeledGauges& gauges = this->implementation->knownState;
    gauges.beginUpdate();
    gauges.set({ { "fact", "routes_version" } }, static_cast<double>(knownState.routesVersion));
    gauges.set({ { "fact", "routes_revision" } }, static_cast<double>(knownState.routesRevision));
    if (knownState.routesProofAge)
        gauges.set({ { "fact", "routes_proof_seconds" } }, toSeconds(*knownState.routesProofAge));
    gauges.set({ { "fact", "store_era" } }, static_cast<double>(knownState.storeEra));
    gauges.set({ { "fact", "lead_era" } }, static_cast<double>(knownState.primaryRecordEra));
    gauges.set({ { "fact", "lead_revision" } }, static_cast<double>(knownState.primaryRevision));
    gauges.set({ { "fact", "epoch" } }, static_cast<double>(knownState.epoch));
    gauges.set({ { "fact", "holds_duty" } }, knownState.isFailoverCoordinator ? 1 : 0);
    gauges.set({ { "fact", "permit_seconds" } }, toSeconds(knownState.lease));
    gauges.set({ { "fact", "instances" } }, static_cast<double>(knownState.numInstances));
    gauges.set({ { "fact", "upstreams" } }, static_cast<double>(knownState.numUpstreams));
    gauges.set({ { "fact", "closed_ports" } }, static_cast<double>(knownState.numClosedPorts));
    gauges.set({ { "fact", "handler_failures" } }, static_cast<double>(knownState.numHandlerFailures));
    gauges.set({ { "fact", "peer_bytes_sent" } }, static_cast<double>(knownState.numPeerBytes));
    gauges.set({ { "fact", "peer_bytes_queued" } }, static_cast<double>(knownState.numPeerBytesQueued));
    gauges.set({ { "fact", "route_bytes_read" } }, static_cast<double>(knownState.numRouteBytesRead));
    gauges.endUpdate();
    LabeledGauges& promotionCalls = this->implementation->promotionCalls;
    promotionCalls.beginUpdate();
    for (const std::pair<const std::string, std::uint64_t>& calls : knownState.numPromotionCalls)
        promotionCalls.set({ { "outcome", calls.first } }, static_cast<double>(calls.second));
    promotionCalls.endUpdate();
}

void GatewayMetrics::setVerifications(const std::map<GroupId, Verifications>& verifications)
{
    std::lock_guard<std::mutex> lock(this->implementation->gaugesMutex);
    LabeledGauges& gauges = this->implementation->verifications;
    gauges.beginUpdate();
    for (const std::pair<const GroupId, Verifications>& group : verifications) {
        gauges.set({ { "group", group.first.toString() }, { "result", "passed" } }, static_cast<double>(group.second.numPassed));
        gauges.set({ { "group", group.first.toString() }, { "result", "failed" } }, static_cast<double>(group.second.numFailed));
    }
    gauges.endUpdate();
}

void GatewayMetrics::setUpstreams(const std::vector<Upstream>& upstreams)
{
    Implementation& metrics = *this->implementation;
    std::lock_guard<std::mutex> lock(metrics.gaugesMutex);
    for (LabeledGauges* gauges : { &metrics.connections, &metrics.running, &metrics.waiting, &metrics.latency, &metrics.lag, &metrics.bytes, &metrics.opened, &metrics.replaced, &metrics.grants, &metrics.grantsOfIdle, &metrics.ejected, &metrics.capacity, &metrics.capacitySamples, &metrics.capacityAge })
        gauges->beginUpdate();
    for (const Upstream& upstream : upstreams) {
        prometheus::Labels labels { { "upstream", upstream.id }, { "group", upstream.group }, { "zone", upstream.isInOwnZone ? "own" : "other" } };
        metrics.connections.set(labels, static_cast<double>(upstream.numConnections));
        metrics.running.set(labels, static_cast<double>(upstream.numRunning));
        metrics.waiting.set(labels, static_cast<double>(upstream.numWaiting));
        metrics.latency.set(labels, toSeconds(upstream.latency));
        metrics.lag.set(labels, static_cast<double>(upstream.lag));
        metrics.bytes.set(labels, static_cast<double>(upstream.numBytes));
        metrics.opened.set(labels, static_cast<double>(upstream.numOpened));
        metrics.replaced.set(labels, static_cast<double>(upstream.numReplaced));
        metrics.grants.set(labels, static_cast<double>(upstream.numGrants));
        metrics.grantsOfIdle.set(labels, static_cast<double>(upstream.numGrantsOfIdle));
        if (upstream.isEjected)
            metrics.ejected.set(labels, 1);
        if (!upstream.capacity)
            continue;
        metrics.capacity.set(labels, upstream.capacity->limit);
        metrics.capacitySamples.set(labels, static_cast<double>(upstream.capacity->numSamples));
        metrics.capacityAge.set(labels, toSeconds(upstream.capacity->age));
    }
    for (LabeledGauges* gauges : { &metrics.connections, &metrics.running, &metrics.waiting, &metrics.latency, &metrics.lag, &metrics.bytes, &metrics.opened, &metrics.replaced, &metrics.grants, &metrics.grantsOfIdle, &metrics.ejected, &metrics.capacity, &metrics.capacitySamples, &metrics.capacityAge })
        gauges->endUpdate();
}

void GatewayMetrics::setFreshnessProofAges(const std::map<std::string, Duration>& ages)
{
    std::lock_guard<std::mutex> lock(this->implementation->gaugesMutex);
    LabeledGauges& gauges = this->implementation->freshnessProofAge;
    gauges.beginUpdate();
    for (const std::pair<const std::string, Duration>& age : ages)
        gauges.set({ { "group", age.first } }, toSeconds(age.second));
    gauges.endUpdate();
}

void GatewayMetrics::setQuota(const Quota& quota)
{
    Implementation& metrics = *this->implementation;
    std::lock_guard<std::mutex> lock(metrics.gaugesMutex);
    for (LabeledGauges* gauges : { &metrics.quotaOperations, &metrics.quotaRefused, &metrics.quotaWaiting, &metrics.quotaDelegations })
        gauges->beginUpdate();
    metrics.quotaOperations.set({ { "result", "admitted" } }, static_cast<double>(quota.numAdmitted));
    metrics.quotaOperations.set({ { "result", "refused" } }, static_cast<double>(quota.numRefused));
    metrics.quotaOperations.set({ { "result", "undecided" } }, static_cast<double>(quota.numUndecided));
    for (const std::pair<const std::string, std::uint64_t>& workspace : quota.numRefusedOf)
        metrics.quotaRefused.set({ { "workspace", workspace.first } }, static_cast<double>(workspace.second));
    metrics.quotaWaiting.set({}, static_cast<double>(quota.numWaiting));
    metrics.quotaDelegations.set({ { "direction", "given" } }, static_cast<double>(quota.numGiven));
    metrics.quotaDelegations.set({ { "direction", "received" } }, static_cast<double>(quota.numReceived));
    for (LabeledGauges* gauges : { &metrics.quotaOperations, &metrics.quotaRefused, &metrics.quotaWaiting, &metrics.quotaDelegations })
        gauges->endUpdate();
}

void GatewayMetrics::setLoans(std::size_t numLent, std::size_t numBorrowed)
{
    std::lock_guard<std::mutex> lock(this->implementation->gaugesMutex);
    LabeledGauges& gauges = this->implementation->loans;
    gauges.beginUpdate();
    gauges.set({ { "direction", "lent" } }, static_cast<double>(numLent));
    gauges.set({ { "direction", "borrowed" } }, static_cast<double>(numBorrowed));
    gauges.endUpdate();
}

std::string GatewayMetrics::render() const
{
    return this->implementation->registry.render();
}

} // namespace lentiljunction
