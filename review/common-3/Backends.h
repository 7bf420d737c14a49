#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace lentiljunction::review {

/// One commit in the log of a backend.
struct LogEntry {
    std::uint64_t term = 0;
    std::map<std::string, std::string> writes;
};

/// A group of database backends that speak the line protocol of the users' pages, on loopback and the real clock.
///
/// A commit of the primary reaches the replicas after a few milliseconds. With synchronous commits it is acknowledged once one
/// replica has received it. Each connection has a thread of its own; one mutex guards all state.
class BackendGroup {
public:
    struct Backend {
        std::string id;
        std::string zone;
        std::string host;
        std::uint16_t port = 0;
        std::uint64_t term = 1;
        std::vector<LogEntry> log;
        bool isPrimary = false;
        bool isRunning = false;
        /// Whether it receives nothing from the primary.
        bool isDeaf = false;
        bool isDraining = false;
        std::uint64_t pauseTerm = 0;
        int listener = -1;
        std::set<int> connections;
        std::int64_t bornAt = 0;
        std::uint64_t sequence = 0;
        std::chrono::steady_clock::time_point formerSince;
        bool isFormer = false;
    };

    BackendGroup(std::string service, bool isSynchronous);
    ~BackendGroup();
    BackendGroup(const BackendGroup&) = delete;
    BackendGroup& operator=(const BackendGroup&) = delete;

    /// Starts a backend with a log. The first one is the primary.
    ///
    /// @param port zero: a free one
    /// @returns whether its port could be opened
    bool start(const std::string& id, const std::string& zone, const std::string& host, std::uint16_t port, std::vector<LogEntry> log);

    /// Ends a backend: its port and its connections close.
    void end(const std::string& id);

    /// Starts a backend that has crashed again, with its log.
    bool restart(const std::string& id);

    void setDeaf(const std::string& id, bool isDeaf);
    void setDraining(const std::string& id);

    /// Carries out a promotion call.
    ///
    /// @returns the HTTP status; the promotion takes effect after the promotion time
    int promote(const std::string& id);

    /// @returns the number of promotion calls that were accepted
    std::size_t countPromotionCalls();

    /// Sets what is told when a backend takes the lead, with its log at that moment.
    void setPromotionListener(std::function<void(const std::string& id, std::uint64_t term, const std::vector<LogEntry>& log)> listener);

    /// @returns copies of all backends
    std::vector<Backend> list();

    /// @returns a copy of a backend
    Backend get(const std::string& id);

    /// Raises the counter of a backend's reports.
    void countReport(const std::string& id);

    /// @returns the backend that was promoted last
    std::string getLeader();

private:
    struct Session;

    Backend* find(const std::string& id);
    bool open(Backend& backend);
    void close(Backend& backend);
    void accept(const std::string& id, int listener, std::uint64_t start);
    void serve(const std::string& id, int descriptor, std::uint64_t start);
    std::string handle(Session& session, const std::string& line);
    /// @param lock holds the mutex
    std::string handleQuery(Session& session, const std::string& text, std::unique_lock<std::mutex>& lock);
    std::string handleControl(Session& session, const std::string& verb, const std::string& argument);
    std::string handleAccess(Session& session, bool isWrite, const std::string& item, const std::string& data, std::unique_lock<std::mutex>& lock);
    /// Commits the writes of a session. Releases the mutex while it waits for a replica.
    std::string commit(Session& session, std::unique_lock<std::mutex>& lock);
    std::string finish(const Session& session, const std::string& result);
    void replicate();
    void receive(Backend& backend, const Backend& primary);
    void takeLead(const std::string& id);
    static std::optional<std::string> readItem(const Backend& backend, const std::string& item);

    std::string service;
    bool isSynchronous;
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::unique_ptr<Backend>> backends;
    /// The number of starts of each backend; what belongs to an earlier start ends.
    std::map<std::string, std::uint64_t> starts;
    std::string leader;
    bool isStopping = false;
    std::function<void(const std::string& id, std::uint64_t term, const std::vector<LogEntry>& log)> listener;
    std::vector<std::thread> threads;
    std::vector<std::pair<std::chrono::steady_clock::time_point, std::string>> promotions;
    std::size_t numPromotionCalls = 0;
    std::thread replicator;
};

} // namespace lentiljunction::review
