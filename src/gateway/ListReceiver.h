#pragma once

#include "../peer/PeerRpc.h"
#include "PieceReceiver.h"
#include "lentiljunction/core/EventLoop.h"

#include <functional>
#include <string>

namespace lentiljunction {

/// Requests a list of another instance, piece by piece.
///
/// Not thread-safe; the control thread owns it.
///
/// @see PieceSender, FleetLists
class ListReceiver {
public:
    /// Receives a complete list.
    using Callback = std::function<void(const nlohmann::json& document)>;

    /// All must outlive this object.
    ///
    /// @param question what to ask other instances for
    /// @param self where this instance listens for others
    ListReceiver(EventLoop& loop, PeerRpc& peers, std::string question, const Endpoint& self, Callback callback);

    /// Requests the list, unless a request is pending. What an earlier transfer left is used.
    void request(const Endpoint& peer);

private:
    void onResponse(const Endpoint& peer, const std::optional<nlohmann::json>& response);
    void onPiece(const Endpoint& peer, const PieceResponse& piece);
    void onComplete(const Endpoint& peer);
    nlohmann::json makeRequest() const;

    EventLoop& loop;
    PeerRpc& peers;
    const std::string question;
    const Endpoint self;
    Callback callback;
    PieceReceiver pieces;
    bool isPending = false;
};

} // namespace lentiljunction
