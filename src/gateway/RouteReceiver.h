#pragma once

#include "PieceReceiver.h"
#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Endpoint.h"
#include "lentiljunction/routes/RouteTable.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace lentiljunction {

/// Requests the routing configuration of other instances that have a newer one, from one of them at a time.
///
/// A transfer that is interrupted continues with the next piece, also at another instance.
///
/// Decides without sockets and timers. Not thread-safe; the control thread owns it.
///
/// @see RouteSender
class RouteReceiver {
public:
    /// Sends requests to other instances.
    class Transport {
    public:
        virtual ~Transport() = default;

        /// Sends a request. RouteReceiver::onResponse() is called once, later, with the response or without one.
        virtual void sendRouteRequest(const Endpoint& peer, const nlohmann::json& request, Duration timeout) = 0;
    };

    /// Receives configurations.
    class Listener {
    public:
        virtual ~Listener() = default;

        /// @returns the newest configuration that this instance has, or nullptr
        virtual std::shared_ptr<const RouteTable> getNewestTable() const = 0;

        virtual void onRoutesReceived(const std::shared_ptr<const RouteTable>& table, const Endpoint& sender) = 0;

        /// A part of a newer configuration arrived.
        virtual void onRoutesProgress() = 0;
    };

    /// All must outlive this object.
    ///
    /// @param self where this instance listens for others
    RouteReceiver(const Clock& clock, Transport& transport, Listener& listener, const Endpoint& self);

    /// Another instance has a newer version.
    void onNewerVersion(const Endpoint& peer, BundleVersion version);

    /// This instance has a configuration, perhaps from elsewhere.
    void onTableKnown(BundleVersion version);

    /// @param response nothing when the request timed out or its link was lost
    void onResponse(const Endpoint& peer, const std::optional<nlohmann::json>& response);

    /// Continues what was put off. Call it at getNextDeadline().
    void onTick() { this->requestNext(); }

    /// @returns when onTick() must be called next, or nothing
    std::optional<TimePoint> getNextDeadline() const;

private:
    /// An instance that has a newer version.
    struct Source {
        Endpoint endpoint;
        BundleVersion version;
        /// It is not asked before.
        TimePoint notBefore;
        int numFailures = 0;
    };

    /// The transfer that is under way, for the log.
    struct Progress {
        TimePoint startedAt;
        int numPieces = 0;
        std::size_t numBytes = 0;
        int numInterruptions = 0;
        int numRefusals = 0;
    };

    void addSource(const Endpoint& peer, BundleVersion version);
    void requestNext();
    void requestPiece(Source& source);
    void onFailed(const Endpoint& peer, const std::string& reason);
    void onBusy(const Endpoint& peer, const PieceResponse& busy);
    void onPiece(const Endpoint& peer, const PieceResponse& piece);
    /// Decodes a complete content, and tells its sender that another transfer may begin.
    void finish(const Endpoint& sender);
    void onDocument(const nlohmann::json& document, const Endpoint& sender);
    std::optional<RouteTable> decodeContent(const nlohmann::json& document, Failure& failure);

    const Clock& clock;
    Transport& transport;
    Listener& listener;
    const Endpoint self;
    std::map<std::string, Source> sources;
    PieceReceiver pieces;
    std::optional<Progress> progress;
    bool isRequestPending = false;
    /// The pending request only tells the sender that the transfer has ended.
    bool isEndPending = false;
    /// A difference could not be applied, so the complete configuration is needed.
    bool mustBeComplete = false;
};

} // namespace lentiljunction
