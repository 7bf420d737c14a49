#pragma once

#include "lentiljunction/membership/Membership.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace lentiljunction::capacity {

/// Simulates the membership protocol of a whole fleet in one process, on a manual clock, and counts the bytes
/// of every message in its encoded form. Single-threaded.
class FleetModel {
public:
    /// Bytes and messages that an instance sent and received.
    struct Traffic {
        double bytes = 0;
        double messages = 0;
    };

    /// Creates the instances, which know each other from the start.
    ///
    /// @param numInstances number of instances, spread evenly over the zones
    /// @param numZones number of availability zones
    FleetModel(int numInstances, int numZones);

    /// Advances the clock and delivers the messages that are due.
    void run(Duration time);

    /// Stops instances. They neither send nor respond from then on.
    ///
    /// @param isStopped selects the instances to stop
    void stop(const std::function<bool(const Member&)>& isStopped);

    /// Restarts all stopped instances, each with a higher incarnation and a few seeds as its only known members.
    void restart();

    /// Resets all traffic counters.
    void resetTraffic();

    /// @returns the traffic per second, since the last reset, of the instance with the most bytes
    Traffic getBusiest() const;

    /// @returns the mean traffic per second and instance since the last reset
    Traffic getMean() const;

    /// @returns the traffic of the busiest second of any instance since the last reset
    Traffic getPeakSecond() const { return this->peakSecond; }

    /// @returns the share of the sampled running instances (every 17th instance is sampled) that see each running
    /// instance as alive and each stopped one as dead
    double getAgreement() const;

private:
    struct Node {
        Member self;
        std::unique_ptr<Membership> membership;
        Traffic traffic;
        Traffic currentSecond;
        bool isStopped = false;
    };

    struct Envelope {
        std::size_t from;
        std::size_t to;
        MembershipMessage message;
    };

    void shareMemberList();
    void send(std::size_t from, const std::vector<Membership::Outgoing>& list);
    void closeSecond();

    ManualClock clock;
    std::vector<SeedPeer> seeds;
    std::vector<Node> nodes;
    std::map<InstanceId, std::size_t> indices;
    std::vector<Envelope> messages;
    TimePoint resetAt;
    TimePoint secondEnds;
    Traffic peakSecond;
    std::uint64_t nextIncarnation = 2;
};

} // namespace lentiljunction::capacity
