#pragma once

#include "Process.h"
#include "Site.h"
#include "lentiljunction/bundle/BundleOffice.h"
#include "lentiljunction/bundle/Signing.h"
#include "lentiljunction/core/Failure.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lentiljunction::lab {

/// One entry instance of a cluster.
struct InstanceNode {
    std::string id;
    std::string zone;
    int callerPort = 0;
    int peerPort = 0;
    int relayPort = 0;
    std::string settingsPath;
    std::unique_ptr<Process> process;
};

/// One member of a database group of a cluster.
struct UpstreamNode {
    std::string id;
    std::string database;
    std::string zone;
    int port = 0;
    int controlPort = 0;
    std::unique_ptr<Process> process;
};

/// A whole site in separate processes on loopback: store, network, upstreams and instances.
///
/// @code
/// Cluster cluster(makeDemoSite(), binaryFolder, workFolder);
/// if (!cluster.start(failure))
///     std::cerr << failure.reason;
/// @endcode
class Cluster {
public:
    /// @param site what to start
    /// @param binaries the folder with the programs
    /// @param folder receives settings and logs; made when missing
    Cluster(SitePlan site, std::string binaries, std::string folder);
    ~Cluster();
    Cluster(const Cluster&) = delete;
    Cluster& operator=(const Cluster&) = delete;

    /// Starts everything, rolls the first bundle, and waits until all instances are ready.
    bool start(Failure& failure);

    /// Starts the process of an instance (again).
    void startInstance(InstanceNode& node);

    /// Waits until an instance says that it is ready.
    bool waitUntilReady(const InstanceNode& node, std::chrono::milliseconds timeout);

    /// Creates, approves and rolls a bundle.
    bool rollBundle(const nlohmann::json& document, Failure& failure);

    /// Writes the platform's list of leaving upstreams.
    bool writeLeavingUpstreams(const std::vector<std::string>& upstreamIds, Failure& failure);

    /// @returns the bundle of this site with a version
    nlohmann::json makeBundle(std::uint64_t version) const;

    /// Sends a change of faults to a postControl port.
    bool postControl(int port, const nlohmann::json& change);

    /// Cuts zones off from all others: peers, upstreams and store.
    void cutZones(const std::vector<std::string>& zones);

    /// @returns the state of an upstream, as it tells on its postControl port
    nlohmann::json describeUpstream(const UpstreamNode& node);

    /// @returns the upstream of a database that says it is primary with the highest term, or nullptr
    UpstreamNode* findPrimary(const std::string& database);

    /// @returns the bundle version that an instance has in force
    std::uint64_t getBundleVersion(const InstanceNode& node);

    /// @returns the site
    const SitePlan& getSite() const { return this->site; }

    std::vector<InstanceNode>& getInstances() { return this->instances; }
    std::vector<UpstreamNode>& getUpstreams() { return this->upstreams; }

    /// @returns the store's port, also for its faults
    int getStorePort() const { return this->storePort; }

    /// @returns the network's postControl port
    int getNetworkPort() const { return this->networkControlPort; }

    /// @returns the key pair of the one operator
    const KeyPair& getOperatorKey() const { return this->operatorKey; }

    /// @returns the operators as trusted by the instances
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

/// @returns a free port of loopback
int findFreePort();

} // namespace lentiljunction::lab
