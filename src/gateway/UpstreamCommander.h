#pragma once

#include "../traffic/TcpUpstreamConnection.h"
#include "lentiljunction/interactive/ReplicationStatus.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace lentiljunction {

/// Requests the status of upstreams, and demotes former primaries.
///
/// Each command opens its own connection, so a response also shows that the upstream is reachable now.
/// Not thread-safe; the control thread owns it.
class UpstreamCommander : private UpstreamConnection::Listener {
public:
    /// @param status nothing when the upstream did not report a status
    /// @param isReachable whether the upstream responded at all; at its connection limit it responds without a status
    using Callback = std::function<void(std::optional<ReplicationStatus> status, bool isReachable)>;

    UpstreamCommander(EventLoop& loop, const Clock& clock, const SessionProtocol& protocol, const InstanceId& self);

    /// Requests the status of an upstream.
    void requestStatus(const UpstreamEntry& upstream, Callback callback);

    /// Turns a primary of a lower term into a replica.
    ///
    /// @param term a term above the one in which the upstream is primary
    void demote(const UpstreamEntry& upstream, Term term, Callback callback);

    /// Stops a replica from receiving, until it is resumed, promoted or restarted.
    ///
    /// @param term a term above any of the group
    void pause(const UpstreamEntry& upstream, Term term, Callback callback);

    /// Lets a replica receive again.
    void resume(const UpstreamEntry& upstream, Callback callback);

private:
    struct PendingCommand {
        std::unique_ptr<UpstreamConnection> connection;
        std::unique_ptr<OneShotTimer> timer;
        UpstreamCommand command;
        Callback callback;
    };

    void sendCommand(const UpstreamEntry& upstream, UpstreamCommand command, Callback callback);
    void onConnectionReady(UpstreamConnection& connection) override;
    void onConnectionBytes(std::size_t) override { }
    void onConnectionLost(UpstreamConnection& connection, UpstreamConnection::LossCause cause, const std::string& reason) override;
    void finish(const UpstreamConnection* connection, std::optional<ReplicationStatus> status, bool isReachable);

    EventLoop& loop;
    const Clock& clock;
    const SessionProtocol& protocol;
    InstanceId self;
    std::map<const UpstreamConnection*, PendingCommand> pendingCommands;
};

} // namespace lentiljunction
