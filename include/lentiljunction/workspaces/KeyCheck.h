#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/workspaces/WorkspaceTable.h"

namespace lentiljunction {

/// How long an instance may decide on keys with the configuration that it has.
struct KeyFreshness {
    /// Until then the configuration counts as current, so a key that it does not contain is refused for good.
    BootTime currentUntil = BootTime::min();
    /// Until then a key of the configuration is accepted: a newer version that removes it is not in force anywhere yet.
    BootTime acceptedUntil = BootTime::min();
};

/// The decision on the key of a caller.
enum class KeyVerdict {
    /// The key belongs to a workspace.
    Accepted,
    /// The route needs no key, or the deployment has no workspaces.
    Public,
    /// No workspace holds the key.
    Unknown,
    /// The configuration is not confirmed as current, so another instance has to decide.
    Unconfirmed,
};

/// @returns the name used in logs and metrics
const char* toString(KeyVerdict verdict);

/// @returns whether statements of the caller may run
inline bool mayRun(KeyVerdict verdict)
{
    return verdict == KeyVerdict::Accepted || verdict == KeyVerdict::Public;
}

/// The decision on a key, with the workspace for which its caller's statements run.
struct KeyDecision {
    KeyVerdict verdict = KeyVerdict::Unconfirmed;
    /// Empty unless the key is accepted.
    WorkspaceId workspace;
};

/// Decides on the key of a caller.
///
/// A known key has its workspace on a public route too, so that its operations count towards the workspace's limit.
///
/// @param isPublicRoute whether the caller's route needs no key
KeyDecision checkKey(const WorkspaceTable& table, const KeyDigest& key, bool isPublicRoute, const KeyFreshness& freshness, BootTime now);

/// Decides whether a statement that began for a workspace may go on.
///
/// @param workspace the workspace under whose name the statement runs; empty for none
/// @returns the verdict on the key, except that a key which has moved to another workspace is Unconfirmed: its caller
/// may begin again
KeyVerdict checkRunningKey(const WorkspaceTable& table, const KeyDigest& key, bool isPublicRoute, const WorkspaceId& workspace, const KeyFreshness& freshness, BootTime now);

} // namespace lentiljunction
