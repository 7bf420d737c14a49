#include "lentiljunction/workspaces/KeyCheck.h"

namespace lentiljunction {

const char* toString(KeyVerdict verdict)
{
    switch (verdict) {
    case KeyVerdict::Accepted:
        return "accepted";
    case KeyVerdict::Public:
        return "public";
    case KeyVerdict::Unknown:
        return "unknown";
    case KeyVerdict::Unconfirmed:
        return "unconfirmed";
    }
    return "unconfirmed";
}

KeyDecision checkKey(const WorkspaceTable& table, const KeyDigest& key, bool isPublicRoute, const KeyFreshness& freshness, BootTime now)
{
    const WorkspaceConfig* workspace = table.find(key);
    if (workspace != nullptr && now < freshness.acceptedUntil)
        return { KeyVerdict::Accepted, workspace->name };
    if (isPublicRoute)
        return { KeyVerdict::Public, WorkspaceId() };
    bool isUnknown = workspace == nullptr && now < freshness.currentUntil;
    return { isUnknown ? KeyVerdict::Unknown : KeyVerdict::Unconfirmed, WorkspaceId() };
}

KeyVerdict checkRunningKey(const WorkspaceTable& table, const KeyDigest& key, bool isPublicRoute, const WorkspaceId& workspace, const KeyFreshness& freshness, BootTime now)
{
    KeyDecision decision = checkKey(table, key, isPublicRoute, freshness, now);
    if (!mayRun(decision.verdict) || decision.workspace == workspace)
        return decision.verdict;
    // On a public route the caller of a removed key may go on without a workspace, but not under the former one's name.
    return table.find(key) == nullptr ? KeyVerdict::Unknown : KeyVerdict::Unconfirmed;
}

} // namespace lentiljunction
