#include "Reports.h"

#include <csignal>

namespace lentiljunction::lab {

nlohmann::json toJson(const BookingCheck& check)
{
    return { { "is_read", check.isVerified }, { "acknowledged", check.numAcknowledged }, { "lost", check.numLost }, { "doubled", check.numDuplicated }, { "run_though_refused", check.numExecutedThoughRefused } };
}

nlohmann::json describeStream(const StreamResult& result, double fromMilliseconds, double toMilliseconds)
{
    return {
        { "arrived", result.numArrived },
        { "completed", result.countCompleted(fromMilliseconds, toMilliseconds) },
        { "p50_ms", result.getPercentile(0.5, fromMilliseconds, toMilliseconds) },
        { "p99_ms", result.getPercentile(0.99, fromMilliseconds, toMilliseconds) },
        { "repeats", result.numRetries },
        { "stale_reads", result.numStaleReads },
        { "outcomes", result.outcomes },
    };
}

void injectFault(Cluster& cluster, PrimaryFault fault)
{
    UpstreamNode* primary = cluster.findPrimary("db-a");
    switch (fault) {
    case PrimaryFault::Cut:
        cluster.cutZones({ primary->zone });
        break;
    case PrimaryFault::Crash:
        primary->process->signal(SIGKILL);
        break;
    case PrimaryFault::Freeze:
        primary->process->signal(SIGSTOP);
        break;
    }
}

} // namespace lentiljunction::lab
