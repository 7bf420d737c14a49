#pragma once

#include "Record.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace review {

/// A request over HTTP/1.1.
struct HttpRequest {
    std::string method;
    std::string path;
    std::string query;
    std::string body;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
};

/// Reads a request from a connection.
///
/// @returns false when the connection ended
bool readHttpRequest(int descriptor, std::string& buffer, HttpRequest& request);

/// @param header one more header line with its CR LF, or nothing
std::string makeHttpResponse(int status, const std::string& body, const std::string& header = "");

/// @returns the status of a GET, or 0 without a response
int getHttpStatus(std::uint16_t port, const std::string& path);

/// The platform's store and its promotion call.
class Platform {
public:
    /// @param holder the duty's holder, as the call names it
    /// @returns the HTTP status of the response
    using PromotionHandler = std::function<int(const std::string& service, const std::string& id, const std::string& holder, std::uint64_t fence)>;

    Platform(Record& record, Milliseconds answerTime)
        : record(record)
        , answerTime(answerTime)
    {
    }

    /// Opens a port of the store.
    std::uint16_t openStore();

    /// Serves promotion calls on a listening socket.
    void servePromotions(int listener, PromotionHandler handler);

    /// Writes an object without a condition, as an operator or a backend does.
    void put(const std::string& kind, const std::string& name, const nlohmann::json& spec);

    void remove(const std::string& kind, const std::string& name);

    /// @returns the spec of an object, or null
    nlohmann::json find(const std::string& kind, const std::string& name);

    /// @returns the store's port on which the last write under a condition came, or 0
    std::uint16_t getLastConditionalWriter() const { return this->lastConditionalWriter; }

    /// @returns the number of writes under a condition
    std::uint32_t getNumConditionalWrites() const { return this->numConditionalWrites; }

    /// Keeps a copy of the store.
    void saveCopy();

    /// The store is away, and comes back from the last copy. What the operator and the backends wrote is written again.
    /// Blocks for the time.
    void restoreCopy(Milliseconds away);

    /// Adds an entry of another writer to the lists of a kind: the text stands in the list as it is.
    void addForeignItem(const std::string& kind, const std::string& text);

private:
    struct Object {
        std::uint64_t revision = 0;
        std::uint64_t createdRevision = 0;
        nlohmann::json spec;
    };

    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json content;
    };

    std::string respond(int status, const std::string& body) const { return makeHttpResponse(status, body, "Store-Era: " + std::to_string(this->era) + "\r\n"); }
    void serveStore(int descriptor, std::uint16_t port);
    std::string handle(const HttpRequest& request, std::uint16_t port);
    std::string list(const std::string& kind);
    std::string watch(const std::string& kind, const std::string& query);
    std::string write(const HttpRequest& request, const std::string& kind, const std::string& name, std::uint16_t port);
    void store(const std::string& kind, const std::string& name, const nlohmann::json& spec);
    nlohmann::json listEvents(const std::string& kind, std::uint64_t after) const;
    static nlohmann::json describe(const std::string& name, const Object& object);

    Record& record;
    Milliseconds answerTime;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::map<std::string, Object>> kinds;
    std::map<std::string, std::vector<std::string>> foreignItems;
    std::vector<Event> history;
    std::uint64_t revision = 1;
    std::map<std::string, std::map<std::string, Object>> copiedKinds;
    std::uint64_t copiedRevision = 1;
    /// Watches from before this revision get 410.
    std::uint64_t oldestRevision = 0;
    std::atomic<std::uint64_t> era { 1 };
    std::atomic<bool> isAway { false };
    std::atomic<std::uint16_t> lastConditionalWriter { 0 };
    std::atomic<std::uint32_t> numConditionalWrites { 0 };
};

} // namespace review
