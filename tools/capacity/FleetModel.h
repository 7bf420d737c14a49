#pragma once

#include "lentiljunction/membership/Membership.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace lentiljunction::capacity {

/// The memberships of a whole fleet in one process, on a clock moved by hand, with the bytes of
/// every message counted as it would be sent.
class FleetModel {
public:
    /// What one instance sent and received.
    struct Traffic {
        double bytes = 0;
        double messages = 0;
    };

    /// @param numInstances spread evenly over the zones
    /// @param numZones availability zones
    FleetModel(int numInstances, int numZones);

    /// Lets time pass.
    void run(Duration time);

    /// Stops instances; they answer nothing any more.
    void stop(const std::function<bool(const Member&)>& isStopped);

    /// Starts instances that were stopped, with a higher incarnation and only their seeds.
    void restart();

    /// Sets every counter to zero.
    void resetTraffic();

    /// @returns the traffic of the running instance with the most bytes, per second since reset
    Traffic getBusiest() const;

    /// @returns the mean traffic of a running instance, per second since reset
    Traffic getMean() const;

    /// @returns the traffic of the busiest second of any instance since reset
    Traffic getPeakSecond() const { return this->peakSecond; }

    /// @returns the share of running instances, of every 17th, that see every running one alive and
    /// every stopped one dead
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
