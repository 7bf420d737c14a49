#include "KeyPruneSchedule.h"

#include "lentiljunction/execution/Statement.h"

namespace lentiljunction {

namespace {

    constexpr Duration pruneDeadline = std::chrono::seconds(10);

} // namespace

HopRequest makePruneRequest(const DatabaseId& database, const UpstreamId& upstream, WallTime oldest)
{
    HopRequest prune;
    prune.request.id = RequestId("prune");
    prune.request.caller = CallerId("prune");
    prune.request.database = database;
    prune.request.rank = Rank::Background;
    prune.request.statements = { getKeyPruneSql(toUnixMilliseconds(oldest)) };
    prune.upstream = upstream;
    prune.remaining = pruneDeadline;
    return prune;
}

} // namespace lentiljunction
