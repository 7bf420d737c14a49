#include "lentiljunction/quota/QuotaCounts.h"

namespace lentiljunction {

namespace {

    /// Bounds the number of time series in the metrics.
    constexpr std::size_t maximumCountedWorkspaces = 128;

} // namespace

QuotaDecision QuotaCounts::count(const WorkspaceId& workspace, const QuotaDecision& decision)
{
    bool isRefused = decision.kind == QuotaDecision::Kind::Refused;
    (decision.isAdmitted() ? this->numAdmitted : isRefused ? this->numRefused
                                                           : this->numUndecided)++;
    if (isRefused && (this->numRefusedOf.count(workspace) > 0 || this->numRefusedOf.size() < maximumCountedWorkspaces))
        this->numRefusedOf[workspace]++;
    return decision;
}

} // namespace lentiljunction
