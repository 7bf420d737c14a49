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

/// What a cluster is made of.
struct SitePlan {
    std::string name;
    std::vector<ZonePlan> zones;
    int numDatabases = 1;
    int numUpstreams = 3;
    int slots = 2;
    int connections = 16;
    int openMilliseconds = 10;
    int serviceMicroseconds = 2000;
    int lagMilliseconds = 5;
    /// One way between two zones.
    double zoneDelayMilliseconds = 0;
    std::string durability = "replicated";
    /// Gives each instance a database of its own name, on the upstreams of the first group, with
    /// itself as the only gate: one pool and one queue per instance.
    bool separatePools = false;
    int urgentTargetMilliseconds = 100;
    int normalTargetMilliseconds = 500;
    int backgroundTargetMilliseconds = 2000;
    int normalFloorPercent = 10;
    int backgroundFloorPercent = 5;
};

/// @returns a small site without delays, for the demo and quick tests
SitePlan makeDemoSite();

/// @returns the sizes of Spona Návrat today
SitePlan makeSponaSite();

/// @returns the sizes of Karadeniz Kompost Dağıtım today
SitePlan makeKaradenizSite();

} // namespace lentiljunction::lab
