#include "lentiljunction/metrics/Metrics.h"

#include "MetricsRegistry.h"

namespace lentiljunction {

class Metrics::Implementation {
public:
    MetricsRegistry registry;
    prometheus::Family<prometheus::Counter>& requests = this->registry.addCounter("lentiljunction_requests_total", "Answered requests by rank and outcome");
    prometheus::Family<prometheus::Counter>& notRun = this->registry.addCounter("lentiljunction_not_run_total", "Requests not run, by rank and reason");
    prometheus::Family<prometheus::Counter>& reads = this->registry.addCounter("lentiljunction_reads_total", "Reads by role and, at the primary, by cause");
    prometheus::Family<prometheus::Counter>& storeCalls = this->registry.addCounter("lentiljunction_store_calls_total", "Calls to the platform's store");
    prometheus::Family<prometheus::Counter>& promotions = this->registry.addCounter("lentiljunction_promotions_total", "Promotions carried out by this instance");
    prometheus::Family<prometheus::Counter>& retries = this->registry.addCounter("lentiljunction_retries_total", "Retries inside the service");
    prometheus::Family<prometheus::Counter>& discarded = this->registry.addCounter("lentiljunction_connections_discarded_total", "Connections closed because their state was unknown");
    prometheus::Family<prometheus::Gauge>& bundle = this->registry.addGauge("lentiljunction_bundle_version", "The bundle version in force");
    prometheus::Family<prometheus::Gauge>& inFlight = this->registry.addGauge("lentiljunction_requests_in_flight", "Requests in flight");
    prometheus::Family<prometheus::Gauge>& controlBytes = this->registry.addGauge("lentiljunction_control_bytes_sent", "Bytes sent to peers for control");
    prometheus::Family<prometheus::Histogram>& latency = this->registry.addHistogram("lentiljunction_request_seconds", "Time from arrival to answer, by rank");
    prometheus::Family<prometheus::Histogram>& queueWait = this->registry.addHistogram("lentiljunction_queue_wait_seconds", "Wait in a gate's queue, by rank");
    prometheus::Family<prometheus::Histogram>& confirmation = this->registry.addHistogram("lentiljunction_confirmation_seconds", "Wait of a write for its confirmation");
};

Metrics::Metrics()
    : implementation(std::make_unique<Implementation>())
{
}

Metrics::~Metrics() = default;

void Metrics::onAnswered(Rank rank, const Outcome& outcome, Duration total)
{
    this->implementation->requests.Add({ { "rank", toString(rank) }, { "outcome", toString(outcome.kind) } }).Increment();
    this->implementation->latency.Add({ { "rank", toString(rank) } }, secondsBuckets).Observe(toSeconds(total));
    if (outcome.kind == OutcomeKind::NotRun)
        this->implementation->notRun.Add({ { "rank", toString(rank) }, { "reason", toString(outcome.reason) } }).Increment();
}

void Metrics::onReplicaRead()
{
    this->implementation->reads.Add({ { "role", "replica" }, { "cause", "" } }).Increment();
}

void Metrics::onPrimaryRead(const std::string& cause)
{
    this->implementation->reads.Add({ { "role", "primary" }, { "cause", cause } }).Increment();
}

void Metrics::onQueueWait(Rank rank, Duration wait)
{
    this->implementation->queueWait.Add({ { "rank", toString(rank) } }, secondsBuckets).Observe(toSeconds(wait));
}

void Metrics::onConfirmation(Duration wait)
{
    this->implementation->confirmation.Add({}, secondsBuckets).Observe(toSeconds(wait));
}

void Metrics::onStoreCall(const std::string& operation, bool isAnswered)
{
    this->implementation->storeCalls.Add({ { "operation", operation }, { "answered", isAnswered ? "yes" : "no" } }).Increment();
}

void Metrics::onPromotion(bool isDone)
{
    this->implementation->promotions.Add({ { "result", isDone ? "done" : "failed" } }).Increment();
}

void Metrics::onRetry()
{
    this->implementation->retries.Add({}).Increment();
}

void Metrics::onConnectionDiscarded()
{
    this->implementation->discarded.Add({}).Increment();
}

void Metrics::setBundleVersion(double version)
{
    this->implementation->bundle.Add({}).Set(version);
}

void Metrics::setInFlight(double number)
{
    this->implementation->inFlight.Add({}).Set(number);
}

void Metrics::setControlBytes(double bytes)
{
    this->implementation->controlBytes.Add({}).Set(bytes);
}

std::string Metrics::render() const
{
    return this->implementation->registry.render();
}

} // namespace lentiljunction
