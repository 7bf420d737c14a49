#pragma once

#include "../../src/net/WebSocketServer.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lentiljunction::standin {

/// The platform's object store and promotion call, as far as gateway instances use them.
///
/// Runs on the thread of an event loop; the public methods may be called from any thread.
class PlatformStore {
public:
    /// What is wrong with the store.
    enum class Fault {
        None,
        /// Answers 503 and does nothing.
        Unavailable,
        /// Answers 429 and does nothing.
        TooManyRequests,
        /// Does nothing and says nothing.
        Silent,
        /// Carries writes out and answers nothing.
        DropsResponses,
        /// Carries writes out a second later, if their condition still holds, and answers nothing.
        LateWrites,
    };

    /// @returns the status of the answer
    using PromotionHandler = std::function<int(const std::string& group, const std::string& upstream)>;

    /// @param loop must outlive this object
    explicit PlatformStore(EventLoop& loop);

    ~PlatformStore();

    /// Opens a port. Each port is a port with a fault of its own, so a store can refuse some instances
    /// and serve others.
    bool listen(const Endpoint& endpoint, Failure& failure);

    /// Writes an object as the operator or an upstream does.
    void put(const std::string& kind, const std::string& name, const nlohmann::json& spec);

    /// Removes an object.
    void remove(const std::string& kind, const std::string& name);

    /// @returns the spec of an object, or null
    nlohmann::json read(const std::string& kind, const std::string& name);

    /// @returns the specs of all objects of a kind, by name
    std::vector<nlohmann::json> list(const std::string& kind);

    /// Drops the history, so that watches from before end with 410.
    void compact();

    /// Changes what is wrong at every port.
    void setFault(Fault fault);

    /// Changes what is wrong at one port, in the order in which they were opened.
    void setPortFault(std::size_t port, Fault fault);
    void setPromotionHandler(PromotionHandler newHandler) { this->promotionHandler = std::move(newHandler); }

private:
    struct Object {
        std::uint64_t revision = 0;
        nlohmann::json spec;
    };

    struct Event {
        std::uint64_t revision;
        std::string kind;
        nlohmann::json content;
    };

    class Port;

    struct Watch {
        Port* port;
        WebSocketServer::Handle handle;
        std::string kind;
        std::uint64_t after;
    };

    void onRequest(Port& port, WebSocketServer::Handle handle, const HttpRequest& request);
    /// Answers as the port's fault lets it, also to those that have waited since before the fault.
    void sendResponse(Port& port, WebSocketServer::Handle handle, const HttpResponse& response);
    HttpResponse handleRead(const std::string& kind, const std::string& name);
    HttpResponse handleWrite(const HttpRequest& request, const std::string& kind, const std::string& name);
    HttpResponse handlePromotion(const HttpRequest& request);
    void startWatch(Port& port, WebSocketServer::Handle handle, const std::string& kind, const std::string& query);
    void store(const std::string& kind, const std::string& name, const nlohmann::json& spec);
    void completeWatches();
    nlohmann::json describe(const std::string& name, const Object& object) const;
    nlohmann::json listEvents(const std::string& kind, std::uint64_t after) const;

    EventLoop& loop;
    std::vector<std::unique_ptr<Port>> ports;
    std::mutex mutex;
    std::map<std::string, std::map<std::string, Object>> kinds;
    std::vector<Event> history;
    std::vector<Watch> watches;
    std::uint64_t revision = 1;
    std::uint64_t oldestRevisionKept = 1;
    PromotionHandler promotionHandler;
};

} // namespace lentiljunction::standin
