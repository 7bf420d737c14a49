#include "MeteredFleetStore.h"

#include "lentiljunction/core/LogEvents.h"

namespace lentiljunction {

namespace {

    /// A single refused call is common under load and does not mean that the store is unavailable.
    constexpr int failuresUntilUnavailable = 2;

} // namespace

MeteredFleetStore::MeteredFleetStore(std::unique_ptr<FleetStore> inner, const Clock& clock, GatewayMetrics& metrics)
    : inner(std::move(inner))
    , clock(clock)
    , metrics(metrics)
    , lastResponseAt(clock.now())
{
}

void MeteredFleetStore::promote(const GroupId& group, const UpstreamId& upstream, const InstanceId& coordinator, FencingToken fencingToken, std::function<bool()> mayBeSent, Callback<bool> callback)
{
    this->inner->promote(group, upstream, coordinator, fencingToken, std::move(mayBeSent), [this, began = this->clock.now(), callback = std::move(callback)](std::optional<bool> value, const Failure& failure) {
        this->count("promote", value.has_value(), failure, began);
        callback(value, failure);
    });
}

void MeteredFleetStore::count(const std::string& operation, bool isDone, const Failure& failure, TimePoint began)
{
    const char* result = isDone ? "done" : isStoreResponse(failure) ? "refused"
                                                                    : "unanswered";
    this->metrics.onStoreCall(operation, result, std::chrono::duration_cast<Duration>(this->clock.now() - began));
}

void MeteredFleetStore::recordAvailability(const std::string& operation, bool isAvailable, const Failure& failure)
{
    std::string sinceLastResponse = std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.now() - this->lastResponseAt).count());
    if (!isAvailable) {
        if (++this->numConsecutiveFailures == failuresUntilUnavailable)
            logEvent(events::storeUnavailable, "call=" + operation + " last_answer_ms=" + sinceLastResponse + " reason=\"" + failure.reason + "\"");
        return;
    }
    if (this->numConsecutiveFailures >= failuresUntilUnavailable)
        logEvent(events::storeAvailable, "call=" + operation + " after_ms=" + sinceLastResponse);
    this->numConsecutiveFailures = 0;
    this->lastResponseAt = this->clock.now();
}

} // namespace lentiljunction
