#pragma once

#include "Process.h"
#include "Site.h"
#include "lentiljunction/bundle/BundleAdmin.h"
#include "lentiljunction/bundle/Signing.h"
#include "lentiljunction/core/Failure.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lentiljunction::lab {

/// One proxy instance of a cluster.
struct InstanceNode {
    std::string id;
    std::string zone;
    int callerPort = 0;
    int peerPort = 0;
    /// Port of the network stand-in that forwards to peerPort; other instances connect to it.
    int relayPort = 0;
    std::string settingsPath;
    std::unique_ptr<Process> process;
};

/// One upstream of a database group of a cluster.
struct UpstreamNode {
    std::string id;
    std::string database;
    std::string zone;
    int port = 0;
    /// HTTP port that injects faults and returns the upstream's state.
    int controlPort = 0;
    std::unique_ptr<Process> process;
};

/// Runs a whole site on loopback, each part in its own process: store, network, upstreams and instances.
///
/// @code
/// Cluster cluster(makeDemoSite(), binaryFolder, workFolder);
/// if (!cluster.start(failure))
///     std::cerr << failure.reason;
/// @endcode
class Cluster {
public:
    /// @param site the zones, instances and upstreams to start
    /// @param binaries folder of the executables
    /// @param folder folder for settings and logs; created when missing
    Cluster(SitePlan site, std::string binaries, std::string folder);
    ~Cluster();
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    /// Starts all processes, puts bundle version 1 in force, and waits until all instances are ready.
    ///
    /// @returns whether all instances became ready; the failure says why not
    bool start(Failure& failure);

    /// Starts or restarts the process of an instance.
    void startInstance(InstanceNode& node);

    /// Waits until an instance reports that it is ready.
    ///
    /// @returns whether it did so before the timeout
    bool waitUntilReady(const InstanceNode& node, std::chrono::milliseconds timeout);

    /// Creates a bundle in the store, approves it as the operator, and puts it in force.
    bool rollBundle(const nlohmann::json& document, Failure& failure);

    /// Writes the platform's list of leaving upstreams to the store.
    bool writeLeavingUpstreams(const std::vector<std::string>& upstreamIds, Failure& failure);

    /// @returns the bundle document of this site with the given version
    nlohmann::json makeBundle(std::uint64_t version) const;

    /// Posts a change of the injected faults to the control port of a stand-in.
    ///
    /// @returns whether the stand-in accepted it
    bool postControl(int port, const nlohmann::json& change);

    /// Cuts the network between the given zones and all others, for peers, upstreams and the store. An empty
    /// list restores it.
    void cutZones(const std::vector<std::string>& zones);

    /// @returns the state of an upstream from its control port, null when it did not respond
    nlohmann::json describeUpstream(const UpstreamNode& node);

    /// @returns the upstream of a database that reports itself as primary with the highest term, or nullptr
    UpstreamNode* findPrimary(const std::string& database);

    /// @returns the bundle version in force at an instance, 0 when it did not respond
    std::uint64_t getBundleVersion(const InstanceNode& node);

    const SitePlan& getSite() const { return this->site; }

    std::vector<InstanceNode>& getInstances() { return this->instances; }
    std::vector<UpstreamNode>& getUpstreams() { return this->upstreams; }

    /// @returns the store's port, which is also its control port
    int getStorePort() const { return this->storePort; }

    /// @returns the control port of the network stand-in
    int getNetworkPort() const { return this->networkControlPort; }

    /// @returns the key pair of the only operator
    const KeyPair& getOperatorKey() const { return this->operatorKey; }

    /// @returns the operators that the instances trust
    OperatorSet getTrustedOperators() const;

private:
    void addSeparatePools(nlohmann::json& bundle) const;
    void planNodes();
    void startStore();
    void startUpstreams();
    void startNetwork();
    void writeSettings(InstanceNode& node);
    std::string makeReplicaList(const UpstreamNode& self) const;
    nlohmann::json makeDelays(const std::string& zone) const;
    bool waitUntilStoreResponds();

    SitePlan site;
    std::string binaries;
    std::string folder;
    KeyPair operatorKey;
    int storePort = 0;
    int networkControlPort = 0;
    std::unique_ptr<Process> store;
    std::unique_ptr<Process> network;
    std::vector<UpstreamNode> upstreams;
    std::vector<InstanceNode> instances;
};

/// @returns a free TCP port on loopback
int findFreePort();

} // namespace lentiljunction::lab
