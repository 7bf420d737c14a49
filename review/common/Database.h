#pragma once

#include "Platform.h"
#include "Record.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace review {

/// The backends of one service: a primary whose commits reach the replicas over a network with a delay.
///
/// Follows the platform's pages: slots, WAITLSN, STATUS, PAUSE, DEMOTE, READONLY, LAGGING, BUSY, promotes that take
/// effect later, commits that wait for one replica where `syncReplicas` is 1. Thread-safe.
class Database {
public:
    struct Options {
        std::string service = "ledger";
        int slots = 2;
        std::size_t maximumQueue = 16;
        Milliseconds connectTime { 12 };
        Milliseconds statusTime { 1 };
        Milliseconds networkDelay { 2 };
        Milliseconds promoteTime { 1000 };
        int syncReplicas = 0;
    };

    /// A commit that wrote.
    struct Entry {
        std::uint64_t term = 1;
        std::map<std::string, std::string> writes;
    };

    /// A statement of a requester that a backend was sent.
    struct Arrival {
        std::string backend;
        std::string id;
        std::string text;
        std::int64_t at = 0;
    };

    /// A read that a backend ran.
    struct ReadRun {
        std::string backend;
        std::string id;
        std::size_t logSize = 0;
    };

    Database(Record& record, Platform& platform, Options options);

    /// Adds a backend and registers it. The first one is the primary; the others have its log.
    void add(const std::string& id, const std::string& zone);

    /// Sets the time that a read, write or commit takes at a backend, by the statement's text.
    void setWorkTime(std::function<Milliseconds(const std::string& backend, const std::string& text)> newWorkTime) { this->workTime = std::move(newWorkTime); }

    /// Sets the time after which replicas have a commit.
    void setReplicationDelay(Milliseconds newDelay) { this->replicationDelay = newDelay; }

    /// The backend receives no replication, or receives it again.
    void setDeaf(const std::string& id, bool isDeaf);

    /// Cuts the backend off from the machines of the system: open connections go silent, new ones hang until it ends.
    /// Other backends still reach it.
    void setCutOff(const std::string& id, bool isCutOff);

    /// The backend's process ends at once, without a report, and its entry stays until it is removed.
    void crash(const std::string& id);

    /// Registers the backend as draining.
    void drain(const std::string& id);

    /// @returns the HTTP status of a promotion call; the promote takes effect later
    int promote(const std::string& id);

    /// @returns the id of the running primary with the highest term, or nothing
    std::string findPrimary();

    /// @returns whether a backend's log has a commit that wrote an item
    bool hasCommit(const std::string& id, const std::string& item);

    /// @returns whether a backend committed a write of an item after another one had been promoted
    bool isCommittedByFormerPrimary(const std::string& item);

    std::size_t getLogSize(const std::string& id);
    std::vector<Arrival> listArrivals();
    std::vector<ReadRun> listReads();

    /// @returns the number of the commit in a backend's log that wrote an item, or 0
    std::size_t findNumber(const std::string& id, const std::string& item);

    /// @returns the ids of requests that a backend has begun and not ended
    std::set<std::string> listRunning();
    std::uint16_t getPort(const std::string& id);

private:
    struct Backend {
        std::string id;
        std::string zone;
        std::uint16_t port = 0;
        int listener = -1;
        std::int64_t born = 0;
        bool isRunning = true;
        bool isPrimary = false;
        bool isDeaf = false;
        bool isPaused = false;
        bool isDraining = false;
        bool isCutOff = false;
        std::uint64_t term = 1;
        std::vector<Entry> log;
        int numRunning = 0;
        std::size_t numQueued = 0;
        std::set<int> connections;
    };

    struct Delivery {
        SteadyClock::time_point at;
        std::string from;
        std::size_t number = 0;
        std::uint64_t term = 0;
    };

    class Connection;

    void serveConnection(Backend& backend, int descriptor);
    void report(const Backend& backend);
    bool takeSlot(Backend& backend);
    void freeSlot(Backend& backend);
    void deliverForever();
    void deliver(const Delivery& delivery);
    /// Makes a commit. The mutex must be held.
    void commit(std::unique_lock<std::mutex>& lock, Backend& backend, const std::map<std::string, std::string>& writes);
    Backend& find(const std::string& id) { return *this->backends.at(id); }
    static std::string formatHead(const Backend& backend);

    Record& record;
    Platform& platform;
    Options options;
    std::function<Milliseconds(const std::string&, const std::string&)> workTime;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::unique_ptr<Backend>> backends;
    std::deque<Delivery> deliveries;
    std::vector<Arrival> arrivals;
    std::vector<ReadRun> reads;
    std::atomic<Milliseconds> replicationDelay;
    std::set<std::string> running;
    std::set<std::string> formerPrimaryItems;
    int nextSignature = 1;
};

} // namespace review
