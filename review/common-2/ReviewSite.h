#pragma once

#include "../../standins/platform/PlatformSite.h"
#include "../../tools/lab/Process.h"

#include <chrono>
#include <cstdint>
#include <fstream>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lentiljunction::review {

class DatabaseGroup;

/// Writes what was sent, answered and run to record.txt, with the time since the start of the case. Thread-safe.
class Record {
public:
    explicit Record(const std::string& path);

    void add(const std::string& line);

private:
    std::mutex mutex;
    std::ofstream file;
    std::chrono::steady_clock::time_point startedAt = std::chrono::steady_clock::now();
};

/// A small deployment on loopback: gateway instances as the deploy file starts them, with the project's stand-ins of the
/// platform in this process.
class ReviewSite {
public:
    /// @param folder an empty folder for settings and logs
    ReviewSite(std::string folder, Record& record);
    ~ReviewSite();

    /// Starts the stand-ins and the instances, and waits until all of them are ready.
    ///
    /// @returns whether they became ready
    bool start(std::size_t numInstances);

    /// Uses other backends than the project's stand-ins. They report themselves to the store and are promoted by the platform.
    /// Call it before start().
    void setGroup(DatabaseGroup& newGroup) { this->group = &newGroup; }

    /// Starts an instance that was killed, with the settings of a later start.
    void restart(std::size_t index);

    /// Starts one more instance and waits until it is ready.
    ///
    /// @returns its index, or nothing when it did not become ready
    std::optional<std::size_t> addInstance();

    /// Ends an instance for good with SIGTERM.
    void remove(std::size_t index);

    /// @returns the index of the instance that may replace primaries according to the store
    std::size_t findCoordinator();

    /// Crashes an upstream for good. Its entry leaves the store after three ping intervals of silence, counted from its last
    /// report, which is up to one interval old.
    void loseUpstream(const std::string& id);

    /// Kills an instance with SIGKILL.
    void kill(std::size_t index);

    /// @returns whether the instance answers its readiness probe with 200
    bool isReady(std::size_t index) const;

    /// @returns whether all instances became ready within a time
    bool waitUntilReady(std::chrono::seconds timeout) const;

    /// @returns the port on which an instance listens for callers
    std::uint16_t getPort(std::size_t index) const { return this->instances[index].sessions; }

    std::size_t getNumInstances() const { return this->instances.size(); }
    lab::Process& getProcess(std::size_t index) { return *this->instances[index].process; }
    standin::PlatformSite& getPlatform() { return this->platform; }

    /// @returns a free port
    static std::uint16_t findPort();

private:
    struct Instance {
        std::uint16_t sessions = 0;
        std::uint16_t ready = 0;
        std::uint16_t peers = 0;
        std::uint16_t lending = 0;
        std::uint16_t metrics = 0;
        std::uint16_t store = 0;
        int numStarts = 0;
        std::unique_ptr<lab::Process> process;
    };

    bool openPorts();
    void startProcess(std::size_t index);
    void connectGroup();
    std::string writeSettings(std::size_t index) const;

    std::string folder;
    Record& record;
    standin::PlatformSite platform;
    std::vector<Instance> instances;
    bool isFirstStart = true;
    DatabaseGroup* group = nullptr;
    /// Removes the entry of a lost upstream.
    std::thread expiry;
};

/// What became of the requests of a measurement.
struct ServedShare {
    int numSent = 0;
    int numServed = 0;

    /// @returns whether less than a quarter was served
    bool isBelowQuarter() const { return this->numServed * 4 < this->numSent; }
};

/// Sends requests for a time, each in a session of its own: writes and reads of the database "bookings" (a primary route) and
/// reads of "checks" (a read_your_writes route), at the running instances in turn.
///
/// @param indexes the instances in use
ServedShare sendRequests(ReviewSite& site, Record& record, const std::vector<std::size_t>& indexes, std::chrono::seconds duration);

/// Makes a temporary folder, which is removed with this object.
class TemporaryFolder {
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    const std::string& getPath() const { return this->path; }

private:
    std::string path;
};

/// @returns whether the case is run with its disruption, that is, unless TROUBLE=0 is set
bool hasTrouble();

} // namespace lentiljunction::review
