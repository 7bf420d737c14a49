#pragma once

#include "lentiljunction/fleet/FleetStore.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <mutex>

namespace lentiljunction {

/// A store whose calls for routes wait until a test answers them; all other calls stay unanswered.
class QueuedFleetStore : public FleetStore {
public:
    /// A read or a watch of the routes.
    struct RouteCall {
        /// The revision to watch from; nothing for a read.
        std::optional<StoreVersion> watchedFrom;
        /// How long a watch waits.
        Duration wait { 0 };
        Callback<VersionedRoutes> callback;
    };

    /// Waits for a call.
    RouteCall peekRouteCall()
    {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->isAdded.wait(lock, [this] { return !this->routeCalls.empty(); });
        return this->routeCalls.front();
    }

    /// Waits for a call and removes it.
    RouteCall takeRouteCall()
    {
        RouteCall call = this->peekRouteCall();
        std::lock_guard<std::mutex> lock(this->mutex);
        this->routeCalls.pop_front();
        return call;
    }

    /// @returns whether a call waits
    bool hasRouteCall()
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        return !this->routeCalls.empty();
    }

    /// A part of a response is received.
    void receiveRouteBytes(std::uint64_t number) { this->numRouteBytes += number; }

    std::uint64_t countRouteBytes() const override { return this->numRouteBytes; }
    StoreEra getEra() const override { return StoreEra(); }
    void readRoutes(Callback<VersionedRoutes> callback) override { this->add({ std::nullopt, Duration(0), std::move(callback) }); }
    void watchRoutes(StoreVersion after, Duration wait, Callback<VersionedRoutes> callback) override { this->add({ after, wait, std::move(callback) }); }
    void listUpstreams(bool, Callback<std::shared_ptr<const UpstreamList>>) override { }
    void readPrimaryRecord(Callback<VersionedPrimaryRecord>) override { }
    void writePrimaryRecord(const PrimaryRecord&, StoreVersion, Callback<VersionedPrimaryRecord>) override { }
    void registerMember(const FleetMember&, Callback<StoreEra>) override { }
    void readMember(const InstanceId&, Callback<RegisteredMember>) override { }
    void removeMember(const InstanceId&, StoreVersion, Callback<bool>) override { }
    void listMembers(bool, Callback<std::vector<FleetMember>>) override { }
    void writeAudit(const std::string&, const std::string&, Callback<bool>) override { }
    void promote(const GroupId&, const UpstreamId&, const InstanceId&, FencingToken, std::function<bool()>, Callback<bool>) override { }

private:
    void add(RouteCall call)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->routeCalls.push_back(std::move(call));
        this->isAdded.notify_all();
    }

    std::mutex mutex;
    std::condition_variable isAdded;
    std::deque<RouteCall> routeCalls;
    std::atomic<std::uint64_t> numRouteBytes { 0 };
};

} // namespace lentiljunction
