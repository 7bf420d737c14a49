#include "ReviewSite.h"

#include "DatabaseGroup.h"

#include "../../tools/lab/Cluster.h"
#include "../../tools/lab/LineCaller.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <httplib.h>
#include <iomanip>
#include <thread>

namespace lentiljunction::review {

namespace {

    constexpr const char* loopback = "127.0.0.1";
    constexpr const char* program = "target/lentiljunction";
    constexpr int httpOk = 200;
    constexpr std::chrono::seconds readyTimeout { 20 };
    constexpr std::chrono::milliseconds pollInterval { 20 };
    /// `heartbeat_ms` of the pages' example.
    constexpr std::chrono::milliseconds pingInterval { 1200 };
    constexpr std::chrono::milliseconds sinceLastReport { 1000 };
    constexpr std::chrono::milliseconds requestGap { 30 };
    /// As many seeds as the platform gives to a machine.
    constexpr std::size_t numSeeds = 3;

} // namespace

Record::Record(const std::string& path)
    : file(path)
{
}

void Record::add(const std::string& line)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - this->startedAt).count();
    this->file << std::fixed << std::setprecision(3) << seconds << " s  " << line << std::endl;
}

ReviewSite::ReviewSite(std::string folder, Record& record)
    : folder(std::move(folder))
    , record(record)
    , platform(findPort)
{
}

ReviewSite::~ReviewSite()
{
    if (this->expiry.joinable())
        this->expiry.join();
}

std::uint16_t ReviewSite::findPort()
{
    return static_cast<std::uint16_t>(lab::findFreePort());
}

bool ReviewSite::start(std::size_t numInstances)
{
    Failure failure;
    if (!this->platform.start(failure))
        return false;
    this->platform.configure(1, { "bookings", "checks" });
    if (this->group != nullptr)
        this->connectGroup();
    for (std::size_t index = 0; index < numInstances; index++) {
        if (!this->openPorts())
            return false;
    }
    for (std::size_t index = 0; index < numInstances; index++)
        this->startProcess(index);
    this->isFirstStart = false;
    return this->waitUntilReady(readyTimeout);
}

bool ReviewSite::openPorts()
{
    Failure failure;
    Instance instance;
    for (std::uint16_t* port : { &instance.sessions, &instance.ready, &instance.peers, &instance.lending, &instance.metrics })
        *port = findPort();
    instance.store = this->platform.openStorePort(failure).port;
    this->instances.push_back(std::move(instance));
    return failure.kind == Failure::Kind::None;
}

std::optional<std::size_t> ReviewSite::addInstance()
{
    std::size_t index = this->instances.size();
    if (!this->openPorts())
        return std::nullopt;
    this->startProcess(index);
    std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + readyTimeout;
    while (!this->isReady(index)) {
        if (std::chrono::steady_clock::now() > end)
            return std::nullopt;
        std::this_thread::sleep_for(pollInterval);
    }
    return index;
}

void ReviewSite::connectGroup()
{
    this->platform.getStore().setPromotionHandler([this](const std::string&, const std::string& id, const std::function<void(int)>& respond) { respond(this->group->promote(id)); });
    this->group->setRoleListener([this](const std::string& id, std::uint16_t port, bool isPrimary, bool isRunning) {
        if (!isRunning)
            return;
        std::int64_t now = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        this->platform.getStore().put("servers", id, { { "service", "ledger" }, { "address", std::string(loopback) + ":" + std::to_string(port) }, { "zone", "z" + id.substr(1) }, { "version", "v1" }, { "slots", 2 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "db_role", isPrimary ? "primary" : "replica" }, { "seq_no", 1 }, { "born", now } });
    });
}

std::string ReviewSite::writeSettings(std::size_t index) const
{
    const Instance& instance = this->instances[index];
    std::string path = this->folder + "/front-" + std::to_string(index + 1) + ".ini";
    std::ofstream settings(path);
    std::string name = "front-" + std::to_string(index + 1);
    settings << "[instance]\nid = " << name << "\nzone = z" << index % 3 + 1 << "\n\n[sessions]\nlisten = " << loopback << ":" << instance.sessions
             << "\n\n[ready]\nlisten = " << loopback << ":" << instance.ready << "\n\n[peers]\nlisten = " << loopback << ":" << instance.peers << "\nseeds = ";
    for (std::size_t seed = 0; seed < std::min(numSeeds, this->instances.size()); seed++)
        settings << (seed == 0 ? "" : ",") << loopback << ":" << this->instances[seed].peers;
    settings << "\n\n[lending]\nlisten = " << loopback << ":" << instance.lending << "\n\n[metrics]\nlisten = " << loopback << ":" << instance.metrics
             << "\n\n[store]\nendpoint = " << loopback << ":" << instance.store << "\nfirst_start = " << (this->isFirstStart ? "true" : "false")
             << "\n\n[promotion]\nendpoint = " << loopback << ":" << instance.store
             << "\n\n[limits]\ndescriptors = 4300\nmemory = 260\nlink_mbps = 1000.0\n\n[drain]\ngrace_s = 6\n";
    return path;
}

void ReviewSite::startProcess(std::size_t index)
{
    Instance& instance = this->instances[index];
    std::string settings = this->writeSettings(index);
    instance.numStarts++;
    std::string log = this->folder + "/front-" + std::to_string(index + 1) + "." + std::to_string(instance.numStarts) + ".log";
    instance.process = std::make_unique<lab::Process>(program, std::vector<std::string> { "serve", "--settings", settings }, log);
    this->record.add("instance front-" + std::to_string(index + 1) + " is started");
}

void ReviewSite::restart(std::size_t index)
{
    this->startProcess(index);
}

void ReviewSite::kill(std::size_t index)
{
    this->instances[index].process->signal(SIGKILL);
    this->instances[index].process->wait();
    this->record.add("instance front-" + std::to_string(index + 1) + " was killed");
}

void ReviewSite::remove(std::size_t index)
{
    this->instances[index].process->signal(SIGTERM);
    int code = this->instances[index].process->wait();
    this->record.add("instance front-" + std::to_string(index + 1) + " was stopped with SIGTERM for good, exit code " + std::to_string(code));
}

std::size_t ReviewSite::findCoordinator()
{
    std::string holder = this->platform.getStore().read("lentiljunction-lead", "main").value("holder", "");
    std::size_t number = std::stoul(holder.substr(holder.find('-') + 1));
    this->record.add("the coordinator according to the store is " + holder);
    return number - 1;
}

void ReviewSite::loseUpstream(const std::string& id)
{
    this->platform.getGroup().crash(id);
    this->record.add("upstream " + id + " has crashed for good");
    this->expiry = std::thread([this, id] {
        std::this_thread::sleep_for(pingInterval * 3 - sinceLastReport);
        this->platform.getStore().remove("servers", id);
        this->record.add("the store has removed the entry of " + id);
    });
}

ServedShare sendRequests(ReviewSite& site, Record& record, const std::vector<std::size_t>& indexes, std::chrono::seconds duration)
{
    ServedShare share;
    std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + duration;
    const std::vector<std::pair<std::string, std::string>> kinds { { "bookings", "WRITE" }, { "checks", "READ" }, { "bookings", "READ" } };
    while (std::chrono::steady_clock::now() < end) {
        std::size_t index = indexes[static_cast<std::size_t>(share.numSent) % indexes.size()];
        const std::pair<std::string, std::string>& kind = kinds[static_cast<std::size_t>(share.numSent) % kinds.size()];
        std::string text = kind.second + " item" + std::to_string(share.numSent) + (kind.second == "WRITE" ? " v" : "");
        lab::LineCaller caller(site.getPort(index), kind.first, std::chrono::seconds(2));
        std::string response = caller.getStartupResponse().rfind("READY", 0) == 0 ? caller.execute(text) : caller.getStartupResponse();
        share.numSent++;
        share.numServed += lab::isServed(response) ? 1 : 0;
        record.add("front-" + std::to_string(index + 1) + " " + kind.first + ": " + text + " -> " + response);
        std::this_thread::sleep_for(requestGap);
    }
    return share;
}

bool ReviewSite::isReady(std::size_t index) const
{
    httplib::Client client(loopback, this->instances[index].ready);
    httplib::Result result = client.Get("/readiness");
    return result && result->status == httpOk;
}

bool ReviewSite::waitUntilReady(std::chrono::seconds timeout) const
{
    std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + timeout;
    for (std::size_t index = 0; index < this->instances.size(); index++) {
        while (!this->isReady(index)) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            std::this_thread::sleep_for(pollInterval);
        }
    }
    return true;
}

TemporaryFolder::TemporaryFolder()
{
    std::string pattern = std::filesystem::temp_directory_path().string() + "/lj-review-XXXXXX";
    const char* made = ::mkdtemp(pattern.data());
    this->path = made == nullptr ? "" : made;
}

TemporaryFolder::~TemporaryFolder()
{
    const char* kept = std::getenv("KEEP_LOGS");
    std::error_code ignored;
    if (!this->path.empty() && kept == nullptr)
        std::filesystem::remove_all(this->path, ignored);
}

bool hasTrouble()
{
    const char* setting = std::getenv("TROUBLE");
    return setting == nullptr || std::string(setting) != "0";
}

} // namespace lentiljunction::review
