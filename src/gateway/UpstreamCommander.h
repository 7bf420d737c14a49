#pragma once

#include "../traffic/UpstreamLink.h"
#include "lentiljunction/interactive/LeadStatus.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace lentiljunction {

/// Asks upstreams for their part in the group, and demotes former primaries.
///
/// Each question uses a connection of its own, so an answer also shows that the upstream can be
/// reached now. Runs on the control thread.
class UpstreamCommander : private UpstreamLink::Listener {
public:
    /// @param status nothing when the upstream did not answer with one
    /// @param isReached whether the upstream answered at all; one without a free slot does, but tells nothing
    using Callback = std::function<void(std::optional<LeadStatus> status, bool isReachable)>;

    UpstreamCommander(EventLoop& loop, const Clock& clock, const SessionProtocol& protocol, const InstanceId& self);

    /// Asks an upstream for its status.
    void requestStatus(const UpstreamEntry& upstream, Callback callback);

    /// Makes a primary of a lower term a replica.
    ///
    /// @param term above the term in which it leads
    void demote(const UpstreamEntry& upstream, Term term, Callback callback);

private:
    struct PendingCommand {
        std::unique_ptr<UpstreamLink> link;
        std::unique_ptr<OneShotTimer> timer;
        UpstreamCommand command;
        Callback callback;
    };

    void sendCommand(const UpstreamEntry& upstream, UpstreamCommand command, Callback callback);
    void onLinkReady(UpstreamLink& link) override;
    void onLinkBytes(std::size_t) override { }
    void onLinkLost(UpstreamLink& link, UpstreamLink::Trouble trouble, const std::string& reason) override;
    void finish(const UpstreamLink* link, std::optional<LeadStatus> status, bool isReachable);

    EventLoop& loop;
    const Clock& clock;
    const SessionProtocol& protocol;
    InstanceId self;
    std::map<const UpstreamLink*, PendingCommand> pendingCommands;
};

} // namespace lentiljunction
