#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"

#include <map>

namespace lentiljunction {

/// Collects reports of instances that cannot reach a primary, and decides whether to replace it.
///
/// One instance without a path is no failed primary, and neither are a few that are cut off together,
/// the holder of the duty among them. So the ledger asks for a share of all instances.
///
/// Not thread-safe; the control thread owns it.
class SuspicionTracker {
public:
    /// Notes that an instance could not open a fresh connection to a primary.
    void report(const UpstreamId& primary, const InstanceId& reporter, TimePoint now);

    /// Forgets what was said of a primary.
    void clear(const UpstreamId& primary) { this->reports.erase(primary); }

    /// @param numInstances the instances that are known
    /// @returns whether the primary is to be replaced
    bool mustReplace(const UpstreamId& primary, std::size_t numInstances, TimePoint now) const;

    /// @returns the instances with a recent report
    std::size_t countReporters(const UpstreamId& primary, TimePoint now) const;

private:
    std::map<UpstreamId, std::map<InstanceId, TimePoint>> reports;
};

} // namespace lentiljunction
