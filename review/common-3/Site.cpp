#include "Site.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <iterator>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <utility>

namespace lentiljunction::review {

namespace {

    constexpr const char* service = "huvo11a";
    constexpr const char* storeHost = "127.0.0.1";
    constexpr std::chrono::milliseconds heartbeat { 1200 };
    constexpr std::chrono::milliseconds pollInterval { 50 };
    constexpr std::chrono::seconds readyTimeout { 20 };
    constexpr time_t answerSeconds = 4;

    std::uint16_t findPort(const std::string& host)
    {
        int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        socklen_t size = sizeof address;
        bool isBound = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), size) == 0 && ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0;
        ::close(descriptor);
        return isBound ? ntohs(address.sin_port) : 0;
    }

    int connectTo(const std::string& host, std::uint16_t port, time_t seconds)
    {
        int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        timeval limit { seconds, 0 };
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        ::setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
        int enabled = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
            return descriptor;
        ::close(descriptor);
        return -1;
    }

    /// @returns whether a machine's ready address answers with 200
    bool isReady(const std::string& host, std::uint16_t port)
    {
        int descriptor = connectTo(host, port, 1);
        if (descriptor < 0)
            return false;
        const std::string request = "GET /readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        std::string start(16, '\0');
        bool isSent = ::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size());
        ssize_t size = isSent ? ::recv(descriptor, start.data(), start.size(), MSG_WAITALL) : 0;
        ::close(descriptor);
        return size > 0 && start.find(" 200") != std::string::npos;
    }

    std::string readFile(const std::string& path)
    {
        std::ifstream file(path);
        return std::string((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    }

    void replaceAll(std::string& text, const std::string& placeholder, const std::string& value)
    {
        for (std::size_t begin = text.find(placeholder); begin != std::string::npos; begin = text.find(placeholder, begin + value.size()))
            text.replace(begin, placeholder.size(), value);
    }

    /// Removes a section that has no value.
    void removeSection(std::string& text, const std::string& name)
    {
        const std::string last = "{{/" + name + "}}";
        std::size_t begin = text.find("{{#" + name + "}}");
        std::size_t end = text.find(last);
        if (begin != std::string::npos && end != std::string::npos)
            text.erase(begin, end + last.size() - begin);
    }

} // namespace

Record::Record(const std::string& path)
    : startedAt(std::chrono::steady_clock::now())
    , file(path)
{
}

double Record::getSeconds() const
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - this->startedAt).count();
}

void Record::write(const std::string& text)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::string seconds(16, '\0');
    seconds.resize(static_cast<std::size_t>(std::snprintf(seconds.data(), seconds.size(), "%8.3f ", this->getSeconds())));
    this->file << seconds << text << std::endl;
}

Site::Site(std::string root, std::string folder, Record& record, bool isSynchronous)
    : root(std::move(root))
    , folder(std::move(folder))
    , record(record)
    , isSynchronous(isSynchronous)
    , network(static_cast<unsigned>(::getpid()) % 60000U + 256U)
    , store(this->loop)
    , backends(service, isSynchronous)
{
    std::filesystem::create_directories(this->folder);
}

Site::~Site()
{
    this->isStopping = true;
    if (this->reporter.joinable())
        this->reporter.join();
    this->processes.clear();
    this->loop.stop();
}

std::string Site::makeHost(std::size_t number) const
{
    return "127." + std::to_string(this->network / 256U) + "." + std::to_string(this->network % 256U) + "." + std::to_string(number);
}

std::string Site::makeSettings(std::size_t instance, const Endpoint& storeEndpoint) const
{
    std::string seeds;
    for (std::size_t index = 0; index < this->ports.size(); index++)
        seeds += (index == 0 ? "" : ",") + this->makeHost(index + 1) + ":" + std::to_string(this->ports[index][2]);
    const std::string host = this->makeHost(instance + 1);
    const std::vector<std::uint16_t>& own = this->ports[instance];
    const std::string storeAddress = storeEndpoint.host + ":" + std::to_string(storeEndpoint.port);
    std::string settings = readFile(this->root + "/deploy/node.ini");
    removeSection(settings, "bounds.quota_window_s");
    const std::vector<std::pair<std::string, std::string>> values {
        { "node_name", "front-" + std::to_string(instance + 1) },
        { "zone", "z" + std::to_string(instance % 3 + 1) },
        { "listen.front", host + ":" + std::to_string(own[0]) },
        { "listen.ready", host + ":" + std::to_string(own[1]) },
        { "listen.control", host + ":" + std::to_string(own[2]) },
        { "seeds", seeds },
        { "ip", host },
        { "internal_ports.0", std::to_string(own[3]) },
        { "platform.address", storeAddress },
        { "bootstrap", "true" },
        { "cloud.address", storeAddress },
        { "limits.max_fds", "4300" },
        { "limits.memory_mb", "260" },
        { "limits.link_mbps", "1000.0" },
        { "bounds.grace_s", "6" },
    };
    for (const std::pair<std::string, std::string>& value : values)
        replaceAll(settings, "{{" + value.first + "}}", value.second);
    return settings;
}

std::size_t Site::configure(std::uint64_t version, std::size_t numFurtherRoutes)
{
    nlohmann::json routes = nlohmann::json::array();
    routes.push_back({ { "name", "r-ctnfzs9" }, { "host", "lepu270" }, { "path_prefix", "/" }, { "route_type", "primary" }, { "timeout_ms", 800 }, { "target_latency_ms", 120 }, { "priority", 0 }, { "service", service }, { "attempts", 2 } });
    routes.push_back({ { "name", "r-k7b2ex5" }, { "host", "fiti832ti23" }, { "path_prefix", "/" }, { "route_type", "read_your_writes" }, { "timeout_ms", 800 }, { "target_latency_ms", 250 }, { "priority", 1 }, { "service", service }, { "attempts", 2 }, { "max_staleness_ms", 2500 } });
    for (std::size_t number = 0; number < numFurtherRoutes; number++) {
        std::string name = std::to_string(1000000 + number);
        routes.push_back({ { "name", "r-" + name }, { "host", "db" + name }, { "path_prefix", "/" }, { "route_type", "primary" }, { "timeout_ms", 800 }, { "target_latency_ms", 120 }, { "priority", 0 }, { "service", service }, { "attempts", 2 } });
    }
    nlohmann::json services = nlohmann::json::array();
    services.push_back({ { "name", service }, { "health_path", "/health" }, { "max_conns", 16 }, { "protocol", "h1" }, { "tls", false }, { "sync_replicas", this->isSynchronous ? 1 : 0 } });
    nlohmann::json limits { { "max_header_bytes", 16384 }, { "max_body_bytes", 262144 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 }, { "tx_idle_ms", 3000 } };
    nlohmann::json configuration { { "version", version }, { "routes", routes }, { "services", services }, { "limits", limits } };
    this->store.put("config", "main", configuration);
    return configuration.dump().size();
}

void Site::report(const std::string& id)
{
    this->backends.countReport(id);
    BackendGroup::Backend backend = this->backends.get(id);
    if (!backend.isRunning)
        return;
    nlohmann::json entry { { "service", service }, { "address", backend.host + ":" + std::to_string(backend.port) }, { "zone", backend.zone }, { "version", "v1" }, { "slots", 2 }, { "state", backend.isDraining ? "draining" : "ready" }, { "cold_left_ms", 0 }, { "db_role", backend.isPrimary ? "primary" : "replica" }, { "seq_no", backend.sequence }, { "born", backend.bornAt } };
    this->store.put("servers", id, entry);
}

void Site::remove(const std::string& id)
{
    this->store.remove("servers", id);
}

void Site::reportAll()
{
    std::chrono::steady_clock::time_point next = std::chrono::steady_clock::now();
    std::map<std::string, bool> roles;
    while (!this->isStopping) {
        bool isDue = std::chrono::steady_clock::now() >= next;
        for (const BackendGroup::Backend& backend : this->backends.list()) {
            // A change of the role is reported immediately.
            bool isChanged = roles.count(backend.id) > 0 && roles[backend.id] != backend.isPrimary;
            roles[backend.id] = backend.isPrimary;
            if (backend.isRunning && (isDue || isChanged))
                this->report(backend.id);
        }
        if (isDue)
            next += heartbeat;
        std::this_thread::sleep_for(pollInterval);
    }
}

std::unique_ptr<lab::Process> Site::startProcess(std::size_t instance) const
{
    const std::string path = this->folder + "/node-" + std::to_string(instance + 1);
    return std::make_unique<lab::Process>(this->root + "/target/lentiljunction", std::vector<std::string> { "serve", "--settings", path + ".ini" }, path + ".log");
}

bool Site::isHolder(std::size_t instance)
{
    nlohmann::json lead = this->store.read("lentiljunction-lead", "main");
    return lead.is_object() && lead.value("holder", "") == "front-" + std::to_string(instance + 1);
}

void Site::killInstance(std::size_t instance)
{
    this->processes[instance]->signal(SIGKILL);
    this->processes[instance]->wait();
}

void Site::restartDead()
{
    for (std::size_t instance = 0; instance < this->processes.size(); instance++) {
        if (!this->processes[instance]->isRunning())
            this->processes[instance] = this->startProcess(instance);
    }
}

bool Site::start(std::size_t numInstances)
{
    for (std::size_t number = 1; number <= 3; number++) {
        if (!this->backends.start("i-" + std::to_string(number), "z" + std::to_string(number), this->makeHost(100 + number), 0, {}))
            return false;
    }
    this->store.setPromotionHandler([this](const std::string& name, const std::string& id, const std::function<void(int status)>& respond) {
        int status = name == service ? this->backends.promote(id) : 404;
        this->record.write("platform: promotion of " + id + " -> " + std::to_string(status));
        respond(status);
    });
    Endpoint storeEndpoint { storeHost, findPort(storeHost) };
    Failure failure;
    if (!this->store.listen(storeEndpoint, failure))
        return false;
    this->loop.start();
    constexpr std::uint64_t firstVersion = 7;
    this->configure(firstVersion, 0);
    this->reporter = std::thread([this] { this->reportAll(); });
    for (std::size_t instance = 0; instance < numInstances; instance++) {
        std::vector<std::uint16_t> own;
        for (int number = 0; number < 4; number++)
            own.push_back(findPort(this->makeHost(instance + 1)));
        this->ports.push_back(own);
        this->sessionEndpoints.push_back({ this->makeHost(instance + 1), own[0] });
    }
    for (std::size_t instance = 0; instance < numInstances; instance++) {
        std::string path = this->folder + "/node-" + std::to_string(instance + 1) + ".ini";
        std::ofstream(path) << this->makeSettings(instance, storeEndpoint);
        this->processes.push_back(this->startProcess(instance));
    }
    std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + readyTimeout;
    for (std::size_t instance = 0; instance < numInstances; instance++) {
        while (!isReady(this->makeHost(instance + 1), this->ports[instance][1])) {
            if (std::chrono::steady_clock::now() > end || !this->processes[instance]->isRunning())
                return false;
            std::this_thread::sleep_for(pollInterval);
        }
    }
    return true;
}

Caller::Caller(const Endpoint& instance, const std::string& database)
    : descriptor(connectTo(instance.host, instance.port, answerSeconds))
{
    const std::string startup = "STARTUP " + database + " u3f1\r\n";
    if (this->descriptor < 0)
        return;
    bool isSent = ::send(this->descriptor, startup.data(), startup.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(startup.size());
    if (!isSent || this->readUntilReady().rfind("READY", 0) != 0)
        this->close();
}

Caller::~Caller()
{
    this->close();
}

void Caller::close()
{
    if (this->descriptor >= 0)
        ::close(std::exchange(this->descriptor, -1));
}

std::string Caller::readUntilReady()
{
    std::string response;
    while (true) {
        std::size_t end = this->buffer.find("\r\n");
        if (end != std::string::npos) {
            std::string line = this->buffer.substr(0, end);
            this->buffer.erase(0, end + 2);
            response += (response.empty() ? "" : "|") + line;
            if (line.rfind("READY", 0) == 0)
                return response;
            continue;
        }
        std::string chunk(4096, '\0');
        ssize_t size = ::recv(this->descriptor, chunk.data(), chunk.size(), 0);
        if (size <= 0)
            return "";
        this->buffer.append(chunk, 0, static_cast<std::size_t>(size));
    }
}

std::string Caller::execute(const std::string& id, const std::string& text)
{
    const std::string query = "QUERY " + id + " " + text + "\r\n";
    if (this->descriptor < 0)
        return "";
    bool isSent = ::send(this->descriptor, query.data(), query.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(query.size());
    std::string response = isSent ? this->readUntilReady() : "";
    if (response.empty())
        this->close();
    return response;
}

bool isServed(const std::string& response)
{
    return response.find("DONE sig.") != std::string::npos;
}

} // namespace lentiljunction::review
