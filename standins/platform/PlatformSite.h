#pragma once

#include "LineUpstream.h"
#include "PlatformStore.h"
#include "PromotionEndpoint.h"

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace lentiljunction::standin {

/// The platform's side of a test site on loopback: the store with the promotion call, and one group of
/// three upstreams "u1" (the first primary), "u2" and "u3" in zones "z1" to "z3".
///
/// @code
/// PlatformSite site(findFreePort);
/// site.start(failure);
/// site.configure(1, { "bookings" });
/// @endcode
class PlatformSite {
public:
    /// @param allocatePort returns a free port
    explicit PlatformSite(const std::function<std::uint16_t()>& allocatePort);
    ~PlatformSite();

    /// Opens the ports of the upstreams and starts the event loop.
    bool start(Failure& failure);

    /// Opens another port of the store. Faults can be set for each port.
    ///
    /// @returns its address
    Endpoint openStorePort(Failure& failure);

    /// Sets the workspaces of later configurations: the API keys by name. Before, configurations have no list of them.
    void setWorkspaces(const std::map<std::string, std::vector<std::string>>& keys);

    /// Sets the limit of each workspace in later configurations.
    void setLimits(double ratePerSecond, double newBurst);

    /// Sets the databases that need no key according to later configurations.
    void setPublicDatabases(const std::set<std::string>& databases) { this->publicDatabases = databases; }

    /// Writes a configuration. The database "bookings" gets a primary route, every other database a
    /// read-your-writes route.
    void configure(std::uint64_t version, const std::vector<std::string>& databases);

    /// Makes the group acknowledge a commit only once a replica has received it, also according to later configurations.
    void setSynchronous();

    /// Sets how many connections an upstream accepts according to later configurations.
    void setMaximumConnections(int number) { this->maximumConnections = number; }

    /// Writes the state that an upstream reports of itself to the store.
    void report(const std::string& id, bool isPrimary, bool isLeaving = false);

    /// Writes the entries of all upstreams with the time of their start from now on, and that of one as started again.
    void reportStart(const std::string& id);

    /// Ends an upstream as planned and removes its entry.
    void end(const std::string& id);

    /// Starts an upstream in the place of one that has ended, with its log and at its address, and reports it.
    ///
    /// @see LineGroup::startSuccessor
    bool startSuccessor(const std::string& id, const std::string& predecessor, Failure& failure);

    /// Publishes another address for an upstream, for example that of a relay in front of it.
    ///
    /// @returns the previous address, on which the upstream itself listens
    Endpoint publishAddress(const std::string& id, const Endpoint& address);

    PlatformStore& getStore() { return this->store; }
    LineGroup& getGroup() { return this->group; }
    PromotionEndpoint& getPromotionEndpoint() { return this->promotionEndpoint; }

private:
    /// The mutex must be held.
    void writeReport(const std::string& id, bool isPrimary);

    std::function<std::uint16_t()> allocatePort;
    EventLoop loop;
    PlatformStore store;
    LineGroup group;
    PromotionEndpoint promotionEndpoint;
    /// Guards the state that upstreams report.
    std::mutex mutex;
    std::map<std::string, Endpoint> endpoints;
    std::set<std::string> leavingUpstreams;
    /// Milliseconds since the Unix epoch; entries of upstreams that are not in it name no start.
    std::map<std::string, std::int64_t> startTimes;
    int maximumConnections = 16;
    int numSynchronousReplicas = 0;
    /// Null without workspaces.
    nlohmann::json workspaces;
    std::set<std::string> publicDatabases;
};

} // namespace lentiljunction::standin
