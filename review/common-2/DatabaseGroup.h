#pragma once

#include "ReviewSite.h"

#include <array>
#include <condition_variable>
#include <functional>
#include <map>
#include <set>

namespace lentiljunction::review {

/// Three database backends "u1" (the first primary), "u2" and "u3" that speak the line protocol over blocking sockets. A commit is
/// acknowledged once one replica has received it. Thread-safe.
class DatabaseGroup {
public:
    /// Told the state of each backend at first, and of one that changes its role or starts.
    using RoleListener = std::function<void(const std::string& id, std::uint16_t port, bool isPrimary, bool isRunning)>;

    explicit DatabaseGroup(Record& record);
    ~DatabaseGroup();
    DatabaseGroup(const DatabaseGroup&) = delete;
    DatabaseGroup& operator=(const DatabaseGroup&) = delete;

    void setRoleListener(RoleListener newListener);

    /// Carries out a promotion call.
    ///
    /// @returns the HTTP status of the call
    int promote(const std::string& id);

    void setDeaf(const std::string& id, bool isDeaf);
    void crash(const std::string& id);
    void restartWithLog(const std::string& id);
    void restartWithoutLog(const std::string& id);

    /// @returns the items in the log of the backend that was promoted last, at that time and since; those of the first primary
    ///     before
    std::set<std::string> findPrimaryLogAtPromotion();
    int getNumPromotions();

private:
    struct Backend {
        std::string id;
        int listener = -1;
        std::uint16_t port = 0;
        bool isRunning = false;
        bool isPrimary = false;
        bool isDeaf = false;
        /// Receives nothing from a primary of a lower term.
        std::uint64_t pausedBelowTerm = 0;
        /// Counts the starts; a commit that waits ends with the start.
        int numStarts = 0;
        std::uint64_t term = 1;
        std::uint64_t headTerm = 1;
        std::uint64_t headNumber = 0;
        std::set<std::string> items;
        std::set<int> connections;
    };

    struct Session {
        bool isInTransaction = false;
        bool isReadOnly = false;
        std::set<std::string> writes;
    };

    Backend& find(const std::string& id);
    void open(Backend& backend);
    void accept(Backend& backend, int listener);
    void serve(Backend& backend, int connection);
    std::string answer(Backend& backend, Session& session, std::string text, std::unique_lock<std::mutex>& lock);
    std::string commit(Backend& backend, Session& session, std::unique_lock<std::mutex>& lock);
    void replicate();
    void takeLead(const std::string& id);
    void startThread(std::function<void()> task);
    void report(const Backend& backend);

    Record& record;
    std::mutex mutex;
    std::condition_variable changed;
    std::array<Backend, 3> backends;
    Backend* leader = nullptr;
    int numPromotions = 0;
    RoleListener listener;
    std::mutex threadsMutex;
    std::vector<std::thread> threads;
    bool isStopping = false;
};

} // namespace lentiljunction::review
