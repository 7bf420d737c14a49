#pragma once

#include "../net/WebSocketServer.h"
#include "lentiljunction/bundle/Bundle.h"
#include "lentiljunction/caller/Request.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

namespace lentiljunction {

/// Serves callers and operators on one port: requests over HTTP and WebSocket, health and metrics.
///
/// The workers of a oneTBB arena decode and encode messages; everything else runs on the traffic
/// thread.
class CallerServer : private WebSocketServer::Listener {
public:
    using ResponseHandler = std::function<void(const CallerResponse& response)>;
    using TextHandler = std::function<void(const std::string& text)>;

    /// Runs requests and describes the instance. Called on the traffic thread.
    class Listener {
    public:
        virtual ~Listener() = default;

        /// Runs a request.
        ///
        /// @param handler call it once with the response, on the traffic thread
        virtual void onRequest(Request request, ResponseHandler handler) = 0;

        /// @returns whether a load balancer may send new connections
        virtual bool isReady() = 0;

        /// @returns the metrics in the Prometheus text format
        virtual std::string getMetrics() = 0;

        /// Passes the state of the instance as JSON to the handler.
        virtual void describe(TextHandler handler) = 0;
    };

    /// @param loop the traffic loop; must outlive this object
    /// @param numWorkers the number of threads that decode and encode
    /// @param listener runs requests; must outlive this object
    CallerServer(EventLoop& loop, int numWorkers, Listener& listener);
    ~CallerServer() override;

    /// Opens the port.
    ///
    /// @param failure set when the port cannot be opened
    /// @returns whether the port is open
    bool listen(const Endpoint& endpoint, Failure& failure);

    /// @returns the number of requests that were received and whose responses are not yet passed to the
    /// socket
    std::size_t getNumUnanswered() const { return this->numUnanswered; }

    /// Applies the limits of a newer bundle.
    void setLimits(const LimitsConfig& newLimits) { this->limits = newLimits; }

private:
    /// The encoding of a message.
    enum class Format {
        Json,
        Cbor,
    };

    using ReplyHandler = std::function<void(const std::string& payload)>;

    void reply(const ReplyHandler& handler, const std::string& payload);

    void onSessionOpened(WebSocketServer::Handle handle, const std::string& resource) override;
    void onSessionMessage(WebSocketServer::Handle handle, const std::string& payload, bool isBinary) override;
    void onSessionClosed(WebSocketServer::Handle handle) override;
    void onHttpRequest(WebSocketServer::Handle handle, const HttpRequest& request) override;

    void rejectMessage(const std::string& payload, bool isCbor, const ReplyHandler& reply);
    void onExecute(WebSocketServer::Handle handle, const HttpRequest& request);
    void decode(const std::string& payload, Format format, const std::string& caller, ReplyHandler reply);
    void runDecoded(Request request, Format format, ReplyHandler reply);

    EventLoop& loop;
    Listener& listener;
    LimitsConfig limits;
    class Workers;
    std::unique_ptr<Workers> workers;
    std::size_t numUnanswered = 0;
    /// The number of requests in flight of each session.
    std::map<WebSocketServer::Handle, std::size_t> sessions;
    WebSocketServer server;
};

} // namespace lentiljunction
