#pragma once

#include "../net/OneShotTimer.h"
#include "../net/WebSocketClient.h"
#include "../net/WebSocketServer.h"
#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

namespace lentiljunction {

/// Questions and answers between instances: CBOR messages over WebSocket.
///
/// A link is opened with the first question to an instance and kept. Each question has a deadline; a
/// link on which one passes is dropped, because an open connection can be silent for good.
///
/// Everything runs on the thread of the event loop.
class PeerRpc : private WebSocketServer::Listener, private WebSocketClient::Listener {
public:
    /// @param answer nothing when none came in time
    using AnswerCallback = std::function<void(std::optional<nlohmann::json> answer)>;
    /// Sends the answer to a question; may be called later, once.
    using Responder = std::function<void(const nlohmann::json& answer)>;

    /// Is told what other instances ask.
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void onPeerRequest(const nlohmann::json& question, const Responder& respond) = 0;
    };

    /// @param loop must outlive this object
    PeerRpc(EventLoop& loop, const Clock& clock, Listener& listener);

    /// Opens the port for other instances.
    bool listen(const Endpoint& endpoint, Failure& failure);

    /// Asks another instance.
    void ask(const Endpoint& peer, nlohmann::json question, Duration timeout, AnswerCallback callback);

    /// @returns the payload sent to other instances since the start
    std::uint64_t getNumBytesSent() const { return this->numBytesSent; }

private:
    struct Pending {
        AnswerCallback callback;
        TimePoint deadline;
        std::string peer;
    };

    struct Link {
        WebSocketClient::Handle handle = 0;
        bool isOpen = false;
        std::vector<std::string> waiting;
    };

    void onSessionOpened(WebSocketServer::Handle, const std::string&) override { }
    void onSessionMessage(WebSocketServer::Handle handle, const std::string& payload, bool isBinary) override;
    void onSessionClosed(WebSocketServer::Handle) override { }
    void onHttpRequest(WebSocketServer::Handle handle, const HttpRequest& request) override;
    void onConnected(WebSocketClient::Handle handle) override;
    void onMessage(WebSocketClient::Handle handle, const std::string& payload) override;
    void onDisconnected(WebSocketClient::Handle handle) override;
    void expire();

    const Clock& clock;
    Listener& listener;
    WebSocketServer server;
    WebSocketClient client;
    OneShotTimer timer;
    std::map<std::string, Link> links;
    /// Peers whose loss would be news.
    std::set<std::string> reachable;
    std::map<std::uint64_t, Pending> pending;
    std::uint64_t nextQuestion = 1;
    std::uint64_t numBytesSent = 0;
};

} // namespace lentiljunction
