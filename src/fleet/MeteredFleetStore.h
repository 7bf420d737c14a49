#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/fleet/FleetStore.h"
#include "lentiljunction/metrics/GatewayMetrics.h"

#include <memory>
#include <string>

namespace lentiljunction {

/// Wraps another store: counts the calls to it and logs when it becomes unavailable and available again.
///
/// Not thread-safe; the control thread owns it.
///
/// @see FleetStore
class MeteredFleetStore : public FleetStore {
public:
    /// @param clock must outlive this object, as must `metrics`
    MeteredFleetStore(std::unique_ptr<FleetStore> inner, const Clock& clock, GatewayMetrics& metrics);

    StoreEra getEra() const override { return this->inner->getEra(); }
    void readRoutes(Callback<VersionedRoutes> callback) override { this->inner->readRoutes(this->meter("read_routes", std::move(callback))); }
    std::uint64_t countRouteBytes() const override { return this->inner->countRouteBytes(); }
    void watchRoutes(StoreVersion after, Duration wait, Callback<VersionedRoutes> callback) override { this->inner->watchRoutes(after, wait, this->meter("watch_routes", std::move(callback))); }
    void listUpstreams(bool isLinearizable, Callback<std::shared_ptr<const UpstreamList>> callback) override { this->inner->listUpstreams(isLinearizable, this->meter("list_upstreams", std::move(callback))); }
    void readPrimaryRecord(Callback<VersionedPrimaryRecord> callback) override { this->inner->readPrimaryRecord(this->meter("read_lead", std::move(callback))); }
    void writePrimaryRecord(const PrimaryRecord& record, StoreVersion expected, Callback<VersionedPrimaryRecord> callback) override { this->inner->writePrimaryRecord(record, expected, this->meter("write_lead", std::move(callback))); }
    void registerMember(const FleetMember& member, Callback<StoreEra> callback) override { this->inner->registerMember(member, this->meter("register", std::move(callback))); }
    void readMember(const InstanceId& member, Callback<RegisteredMember> callback) override { this->inner->readMember(member, this->meter("read_member", std::move(callback))); }
    void removeMember(const InstanceId& member, StoreVersion expected, Callback<bool> callback) override { this->inner->removeMember(member, expected, this->meter("remove", std::move(callback))); }
    void listMembers(bool isLinearizable, Callback<std::vector<FleetMember>> callback) override { this->inner->listMembers(isLinearizable, this->meter("list_members", std::move(callback))); }
    void writeAudit(const std::string& key, const std::string& records, Callback<bool> callback) override { this->inner->writeAudit(key, records, this->meter("write_audit", std::move(callback))); }
    /// Promotions use another service, so their results do not show whether the store is available.
    void promote(const GroupId& group, const UpstreamId& upstream, const InstanceId& coordinator, FencingToken fencingToken, std::function<bool()> mayBeSent, Callback<bool> callback) override;

private:
    template <typename T>
    Callback<T> meter(const std::string& operation, Callback<T> callback)
    {
        return [this, operation, began = this->clock.now(), callback = std::move(callback)](std::optional<T> value, const Failure& failure) {
            this->count(operation, value.has_value(), failure, began);
            this->recordAvailability(operation, value.has_value() || isStoreResponse(failure), failure);
            callback(std::move(value), failure);
        };
    }

    /// @returns whether a failure is a response of the store about its objects
    static bool isStoreResponse(const Failure& failure) { return failure.kind == Failure::Kind::NotFound || failure.kind == Failure::Kind::Conflict; }
    void count(const std::string& operation, bool isDone, const Failure& failure, TimePoint began);
    void recordAvailability(const std::string& operation, bool isAvailable, const Failure& failure);

    std::unique_ptr<FleetStore> inner;
    const Clock& clock;
    GatewayMetrics& metrics;
    int numConsecutiveFailures = 0;
    TimePoint lastResponseAt;
};

} // namespace lentiljunction
