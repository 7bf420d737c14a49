#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace lentiljunction::lab {

/// An availability zone of a site.
struct ZonePlan {
    std::string name;
    int numInstances = 1;
};

/// Parameters of a cluster.
struct SitePlan {
    std::string name;
    std::vector<ZonePlan> zones;
    int numDatabases = 1;
    int numUpstreams = 3;
    /// Statements that an upstream runs at the same time.
    int slots = 2;
    /// Connection limit of an upstream.
    int connections = 16;
    /// Time that an upstream takes to open a connection.
    int openMilliseconds = 10;
    /// Execution time of a statement.
    int serviceMicroseconds = 2000;
    /// Replication lag.
    int lagMilliseconds = 5;
    /// One-way network delay between two zones.
    double zoneDelayMilliseconds = 0;
    std::string durability = "replicated";
    /// Adds a database named after each instance, on the upstreams of the first group, with that instance as the
    /// only gate. Each instance then has its own pool and queue.
    bool separatePools = false;
    int urgentTargetMilliseconds = 100;
    int normalTargetMilliseconds = 500;
    int backgroundTargetMilliseconds = 2000;
    int normalFloorPercent = 10;
    int backgroundFloorPercent = 5;
};

/// @returns a small site without network delays, for the demo and short tests
SitePlan makeDemoSite();

/// @returns a site of the current size of Spona Návrat
SitePlan makeSponaSite();

/// @returns a site of the current size of Karadeniz Kompost Dağıtım
SitePlan makeKaradenizSite();

} // namespace lentiljunction::lab
