#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"

#include <map>

namespace lentiljunction {

/// Collects reports of instances that cannot reach a primary, and decides whether to replace it.
///
/// A single report may be caused by a network fault at the reporter. Reports of a few instances may be
/// caused by a partition that separates them and the coordinator from the rest. So a share of all
/// instances must report the primary before it is replaced.
///
/// Not thread-safe; the control thread owns it.
class SuspicionTracker {
public:
    /// Records that an instance could not open a new connection to a primary.
    void report(const UpstreamId& primary, const InstanceId& reporter, TimePoint now);

    /// Removes all reports about a primary.
    void clear(const UpstreamId& primary) { this->reports.erase(primary); }

    /// @param numInstances the number of known instances
    /// @returns whether the primary must be replaced
    bool mustReplace(const UpstreamId& primary, std::size_t numInstances, TimePoint now) const;

    /// @returns the number of instances with a recent report
    std::size_t countReporters(const UpstreamId& primary, TimePoint now) const;

private:
    std::map<UpstreamId, std::map<InstanceId, TimePoint>> reports;
};

} // namespace lentiljunction
