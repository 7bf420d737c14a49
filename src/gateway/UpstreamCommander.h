#pragma once

#include "../traffic/UpstreamConnection.h"
#include "lentiljunction/interactive/ReplicationStatus.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace lentiljunction {

/// Asks upstreams for their part in the group, and demotes former primaries.
///
/// Each question uses a connection of its own, so an answer also shows that the upstream can be
/// reached now. Runs on the control thread.
class UpstreamCommander : private UpstreamConnection::Listener {
public:
    /// @param status nothing when the upstream did not answer with one
    /// @param isReached whether the upstream answered at all; one without a free slot does, but tells nothing
    using Callback = std::function<void(std::optional<ReplicationStatus> status, bool isReached)>;

    UpstreamCommander(EventLoop& loop, const Clock& clock, const SessionProtocol& protocol, const InstanceId& self);

    /// Asks an upstream for its status.
    void askStatus(const UpstreamEntry& upstream, Callback callback);

    /// Makes a primary of a lower term a replica.
    ///
    /// @param term above the term in which it leads
    void demote(const UpstreamEntry& upstream, Term term, Callback callback);

private:
    struct Question {
        std::unique_ptr<UpstreamConnection> link;
        std::unique_ptr<OneShotTimer> timer;
        UpstreamCommand command;
        Callback callback;
    };

    void ask(const UpstreamEntry& upstream, UpstreamCommand command, Callback callback);
    void onConnectionReady(UpstreamConnection& link) override;
    void onConnectionBytes(std::size_t) override { }
    void onConnectionLost(UpstreamConnection& link, UpstreamConnection::LossCause trouble, const std::string& reason) override;
    void finish(const UpstreamConnection* link, std::optional<ReplicationStatus> status, bool isReached);

    EventLoop& loop;
    const Clock& clock;
    const SessionProtocol& protocol;
    InstanceId self;
    std::map<const UpstreamConnection*, Question> questions;
};

} // namespace lentiljunction
