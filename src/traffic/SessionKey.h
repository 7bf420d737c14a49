#pragma once

#include "TrafficState.h"
#include "lentiljunction/interactive/FailureCause.h"
#include "lentiljunction/interactive/ReplyPolicy.h"
#include "lentiljunction/workspaces/KeyCheck.h"

#include <string>

namespace lentiljunction {

/// @returns why a statement is refused whose caller's key is not accepted
FailureCause toFailureCause(KeyVerdict verdict);

/// Decides the reply to a statement that is not run because its caller's key is not accepted. An open transaction is
/// rolled back.
ReplyDecision decideKeyRefusal(KeyVerdict verdict, bool isInTransaction, bool isCommit);

/// Decides on the key of a caller with the routing configuration in force.
KeyDecision checkKey(const TrafficState& state, const DatabaseId& database, const KeyDigest& key);

/// Decides whether a statement or transaction that began for a workspace may go on.
///
/// @param workspace the workspace for which it began; empty for none
KeyVerdict checkRunningKey(const TrafficState& state, const DatabaseId& database, const KeyDigest& key, const WorkspaceId& workspace);

/// The key of one caller's session, of which only the digest is kept, and the workspace of its current operation.
///
/// Not thread-safe; the traffic thread owns it.
class SessionKey {
public:
    /// @param state must outlive this object
    explicit SessionKey(const TrafficState& state)
        : state(state)
    {
    }

    /// Sets the key that the caller sent.
    void set(const DatabaseId& newDatabase, const std::string& key);

    /// Determines the workspace of an operation that begins.
    void beginOperation() { this->workspace = checkKey(this->state, this->database, this->digest).workspace; }

    /// @param isInTransaction whether the workspace of the current operation must still hold the key
    KeyVerdict check(bool isInTransaction) const;

    /// Logs that the key was not accepted.
    void logRefusal(KeyVerdict verdict) const;

    const KeyDigest& getDigest() const { return this->digest; }

    /// @returns the workspace of the current operation; empty without one
    const WorkspaceId& getWorkspace() const { return this->workspace; }

private:
    const TrafficState& state;
    DatabaseId database;
    KeyDigest digest;
    WorkspaceId workspace;
};

} // namespace lentiljunction
