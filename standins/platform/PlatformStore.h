#pragma once

#include "../../src/net/WebSocketServer.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lentiljunction::standin {

/// Stand-in for the platform's object store and promotion call, limited to what gateway instances use.
///
/// Serves requests on the thread of an event loop. The public methods can be called from any thread.
class PlatformStore {
public:
    /// Faults that a test can inject.
    enum class Fault {
        None,
        /// Responds with 503 without processing the request.
        Unavailable,
        /// Responds with 429 without processing the request.
        TooManyRequests,
        /// Neither processes requests nor responds.
        Silent,
        /// Processes writes but does not respond to them.
        DropsResponses,
        /// Processes writes 1 s late, if their condition still holds then, and does not respond to them.
        LateWrites,
    };

    /// Promotes an upstream and gives the HTTP status of the response, possibly later or never.
    using PromotionHandler = std::function<void(const std::string& group, const std::string& upstream, std::function<void(int status)> respond)>;

    /// @param loop must outlive this object
    explicit PlatformStore(EventLoop& loop);

    ~PlatformStore();

    /// Opens a port. Each port has its own fault, so that the store can fail for some instances and serve
    /// others.
    bool listen(const Endpoint& endpoint, Failure& failure);

    /// Writes an object without a condition, as an operator or an upstream does.
    void put(const std::string& kind, const std::string& name, const nlohmann::json& spec);

    /// Writes an object of another writer, whose name and spec may be any bytes. read() and list() see its spec as null.
    void putRaw(const std::string& kind, const std::string& name, const std::string& specText);

    /// Removes an object.
    void remove(const std::string& kind, const std::string& name);

    /// @returns the spec of an object, or null
    nlohmann::json read(const std::string& kind, const std::string& name);

    /// @returns the specs of all objects of a kind, by name
    std::vector<nlohmann::json> list(const std::string& kind);

    /// Sets the number of objects in a page of a list.
    void setPageSize(std::size_t newPageSize) { this->pageSize = newPageSize; }

    /// Discards the history, so that open watches and those of older revisions end with 410.
    void compact();

    /// Keeps a copy of all objects and of the revision.
    void saveCopy();

    /// Returns to the last copy, or to an empty store without one, and begins a new era. Revisions issued since then
    /// are issued again, and open watches end.
    void restoreCopy();

    /// Sets the fault of every port, also of those that are opened later.
    void setFault(Fault fault);

    /// Sets the fault of one port.
    ///
    /// @param port the port's index in the order of opening
    void setPortFault(std::size_t port, Fault fault);
    /// @returns the reads of a kind through one port since the start, without watches
    std::size_t countReads(std::size_t port, const std::string& kind);

    void setPromotionHandler(PromotionHandler newHandler) { this->promotionHandler = std::move(newHandler); }

private:
    struct Object {
        std::uint64_t revision = 0;
        nlohmann::json spec;
        /// The spec as it is sent.
        std::string specText;
    };

    struct Event {
        std::uint64_t revision;
        std::string kind;
        std::string text;
    };

    class Port;

    struct Watch {
        Port* port;
        WebSocketServer::Handle handle;
        std::string kind;
        std::uint64_t after;
    };

    void onRequest(Port& port, WebSocketServer::Handle handle, const HttpRequest& request);
    /// Sends a response, or what the port's present fault makes of it. The fault also applies to requests that
    /// were waiting before it was set.
    void sendResponse(Port& port, WebSocketServer::Handle handle, const HttpResponse& response);
    HttpResponse handleRead(const std::string& kind, const std::string& name, const std::string& after);
    HttpResponse handleRemoval(const std::string& query, const std::string& kind, const std::string& name);
    HttpResponse handleWrite(const HttpRequest& request, const std::string& kind, const std::string& name);
    void handlePromotion(Port& port, WebSocketServer::Handle handle, const HttpRequest& request);
    void startWatch(Port& port, WebSocketServer::Handle handle, const std::string& kind, const std::string& query);
    void store(const std::string& kind, const std::string& name, const nlohmann::json& spec, const std::string& specText);
    void completeWatches();
    /// Discards the history and ends all watches. The mutex must be held.
    void endWatches();
    static std::string describe(const std::string& name, const Object& object);
    std::vector<std::string> listEvents(const std::string& kind, std::uint64_t after) const;
    HttpResponse makeEventsResponse(const std::vector<std::string>& events) const;

    EventLoop& loop;
    std::vector<std::unique_ptr<Port>> ports;
    std::atomic<Fault> faultOfNewPorts { Fault::None };
    std::mutex mutex;
    std::map<std::string, std::map<std::string, Object>> kinds;
    std::map<std::string, std::map<std::string, Object>> copiedKinds;
    /// By port and kind.
    std::map<std::pair<const Port*, std::string>, std::size_t> numReads;
    std::uint64_t copiedRevision = 1;
    std::atomic<std::uint64_t> era { 1 };
    std::atomic<std::size_t> pageSize { 500 };
    std::vector<Event> history;
    std::vector<Watch> watches;
    std::uint64_t revision = 1;
    std::uint64_t oldestRevisionKept = 1;
    PromotionHandler promotionHandler;
};

} // namespace lentiljunction::standin
