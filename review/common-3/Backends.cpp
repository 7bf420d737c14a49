#include "Backends.h"

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace lentiljunction::review {

namespace {

    constexpr std::chrono::milliseconds replicationInterval { 3 };
    constexpr std::chrono::milliseconds promotionTime { 1000 };
    constexpr std::chrono::milliseconds stepDownTime { 1000 };
    constexpr int pollMilliseconds = 50;
    constexpr std::size_t maximumConnections = 16;

    std::int64_t readWallMilliseconds()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    bool sendAll(int descriptor, const std::string& bytes)
    {
        std::size_t numSent = 0;
        while (numSent < bytes.size()) {
            ssize_t size = ::send(descriptor, bytes.data() + numSent, bytes.size() - numSent, MSG_NOSIGNAL);
            if (size <= 0)
                return false;
            numSent += static_cast<std::size_t>(size);
        }
        return true;
    }

    std::string takeWord(std::string& text)
    {
        std::size_t space = text.find(' ');
        std::string word = text.substr(0, space);
        text = space == std::string::npos ? std::string() : text.substr(space + 1);
        return word;
    }

    std::string formatPosition(const BackendGroup::Backend& backend)
    {
        std::uint64_t term = backend.log.empty() ? 1 : backend.log.back().term;
        return std::to_string(term) + "." + std::to_string(backend.log.size());
    }

} // namespace

struct BackendGroup::Session {
    std::string backend;
    bool isOpen = false;
    bool mustClose = false;
    char state = 'I';
    bool isReadOnly = false;
    std::map<std::string, std::string> values;
    /// Whether it writes, and the shape, by name.
    std::map<std::string, std::pair<bool, std::string>> prepared;
    std::map<std::string, std::string> writes;
};

BackendGroup::BackendGroup(std::string service, bool isSynchronous)
    : service(std::move(service))
    , isSynchronous(isSynchronous)
    , replicator([this] { this->replicate(); })
{
}

BackendGroup::~BackendGroup()
{
    std::vector<std::thread> joined;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->isStopping = true;
        for (const std::unique_ptr<Backend>& backend : this->backends)
            this->close(*backend);
        joined = std::move(this->threads);
        this->changed.notify_all();
    }
    this->replicator.join();
    for (std::thread& thread : joined)
        thread.join();
}

BackendGroup::Backend* BackendGroup::find(const std::string& id)
{
    for (const std::unique_ptr<Backend>& backend : this->backends) {
        if (backend->id == id)
            return backend.get();
    }
    return nullptr;
}

bool BackendGroup::open(Backend& backend)
{
    backend.listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int enabled = 1;
    ::setsockopt(backend.listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(backend.port);
    ::inet_pton(AF_INET, backend.host.c_str(), &address.sin_addr);
    if (::bind(backend.listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || ::listen(backend.listener, SOMAXCONN) != 0) {
        ::close(std::exchange(backend.listener, -1));
        return false;
    }
    socklen_t size = sizeof address;
    ::getsockname(backend.listener, reinterpret_cast<sockaddr*>(&address), &size);
    backend.port = ntohs(address.sin_port);
    backend.isRunning = true;
    backend.bornAt = readWallMilliseconds();
    backend.sequence = 0;
    std::uint64_t start = ++this->starts[backend.id];
    this->threads.emplace_back([this, id = backend.id, listener = backend.listener, start] { this->accept(id, listener, start); });
    return true;
}

void BackendGroup::close(Backend& backend)
{
    backend.isRunning = false;
    this->starts[backend.id]++;
    if (backend.listener >= 0)
        ::shutdown(backend.listener, SHUT_RDWR);
    backend.listener = -1;
    for (int descriptor : backend.connections)
        ::shutdown(descriptor, SHUT_RDWR);
    this->changed.notify_all();
}

bool BackendGroup::start(const std::string& id, const std::string& zone, const std::string& host, std::uint16_t port, std::vector<LogEntry> log)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::unique_ptr<Backend> backend = std::make_unique<Backend>();
    backend->id = id;
    backend->zone = zone;
    backend->host = host;
    backend->port = port;
    backend->term = log.empty() ? 1 : log.back().term;
    backend->log = std::move(log);
    if (this->backends.empty()) {
        backend->isPrimary = true;
        this->leader = id;
    }
    this->backends.push_back(std::move(backend));
    return this->open(*this->backends.back());
}

void BackendGroup::end(const std::string& id)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->close(*this->find(id));
}

bool BackendGroup::restart(const std::string& id)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    Backend& backend = *this->find(id);
    if (this->leader != id)
        backend.isPrimary = false;
    backend.pauseTerm = 0;
    return this->open(backend);
}

void BackendGroup::setDeaf(const std::string& id, bool isDeaf)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->find(id)->isDeaf = isDeaf;
}

void BackendGroup::setDraining(const std::string& id)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->find(id)->isDraining = true;
}

int BackendGroup::promote(const std::string& id)
{
    constexpr int accepted = 200;
    constexpr int refused = 409;
    std::lock_guard<std::mutex> lock(this->mutex);
    const Backend* backend = this->find(id);
    if (backend == nullptr || !backend->isRunning)
        return refused;
    this->numPromotionCalls++;
    if (this->leader != id || !backend->isPrimary)
        this->promotions.emplace_back(std::chrono::steady_clock::now() + promotionTime, id);
    return accepted;
}

std::size_t BackendGroup::countPromotionCalls()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->numPromotionCalls;
}

void BackendGroup::setPromotionListener(std::function<void(const std::string& id, std::uint64_t term, const std::vector<LogEntry>& log)> newListener)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->listener = std::move(newListener);
}

std::vector<BackendGroup::Backend> BackendGroup::list()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<Backend> copies;
    for (const std::unique_ptr<Backend>& backend : this->backends)
        copies.push_back(*backend);
    return copies;
}

BackendGroup::Backend BackendGroup::get(const std::string& id)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return *this->find(id);
}

void BackendGroup::countReport(const std::string& id)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->find(id)->sequence++;
}

std::string BackendGroup::getLeader()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->leader;
}

void BackendGroup::accept(const std::string& id, int listener, std::uint64_t start)
{
    while (true) {
        int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        std::lock_guard<std::mutex> lock(this->mutex);
        if (this->isStopping || this->starts[id] != start) {
            if (descriptor >= 0)
                ::close(descriptor);
            break;
        }
        if (descriptor < 0)
            continue;
        int enabled = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
        this->find(id)->connections.insert(descriptor);
        this->threads.emplace_back([this, id, descriptor, start] { this->serve(id, descriptor, start); });
    }
    ::close(listener);
}

void BackendGroup::serve(const std::string& id, int descriptor, std::uint64_t start)
{
    Session session;
    session.backend = id;
    std::string buffer;
    std::vector<char> chunk(1U << 16);
    bool isEnded = false;
    while (!isEnded) {
        ssize_t size = ::recv(descriptor, chunk.data(), chunk.size(), 0);
        if (size <= 0)
            break;
        buffer.append(chunk.data(), static_cast<std::size_t>(size));
        for (std::size_t end = buffer.find("\r\n"); end != std::string::npos && !isEnded; end = buffer.find("\r\n")) {
            std::string line = buffer.substr(0, end);
            buffer.erase(0, end + 2);
            std::string reply = this->handle(session, line);
            std::unique_lock<std::mutex> lock(this->mutex);
            bool isCurrent = this->starts[id] == start;
            lock.unlock();
            isEnded = !isCurrent || reply.empty() || !sendAll(descriptor, reply) || session.mustClose;
        }
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    this->find(id)->connections.erase(descriptor);
    ::close(descriptor);
}

std::string BackendGroup::finish(const Session& session, const std::string& result)
{
    return result + "READY " + session.state + " " + formatPosition(*this->find(session.backend)) + "\r\n";
}

std::string BackendGroup::handle(Session& session, const std::string& line)
{
    std::string rest = line;
    std::string kind = takeWord(rest);
    if (kind == "STARTUP") {
        std::lock_guard<std::mutex> lock(this->mutex);
        std::string name = takeWord(rest);
        takeWord(rest);
        std::string expected = takeWord(rest);
        session.mustClose = true;
        if (name != this->service || (!expected.empty() && expected != session.backend))
            return "ERR WRONGNODE " + session.backend + "\r\n";
        if (this->find(session.backend)->connections.size() > maximumConnections)
            return "ERR CONNLIMIT " + session.backend + "\r\n";
        session.mustClose = false;
        session.isOpen = true;
        return this->finish(session, "");
    }
    if (kind != "QUERY" || !session.isOpen)
        return "";
    takeWord(rest);
    std::unique_lock<std::mutex> lock(this->mutex);
    return this->handleQuery(session, rest, lock);
}

std::string BackendGroup::handleQuery(Session& session, const std::string& text, std::unique_lock<std::mutex>& lock)
{
    const Backend& backend = *this->find(session.backend);
    std::string rest = text;
    std::string verb = takeWord(rest);
    if (verb == "WAITLSN") {
        std::string position = takeWord(rest);
        std::uint64_t term = std::stoull(position.substr(0, position.find('.')));
        std::uint64_t number = std::stoull(position.substr(position.find('.') + 1));
        if (backend.log.size() < number || (number > 0 && backend.log[number - 1].term != term))
            return this->finish(session, "ERR LAGGING " + backend.id + "\r\n");
        verb = takeWord(rest);
    }
    const std::string done = "DONE -\r\n";
    std::string argument = takeWord(rest);
    if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "DEMOTE")
        return this->handleControl(session, verb, argument);
    if (verb == "RESET") {
        session.values.clear();
        session.prepared.clear();
        return this->finish(session, done);
    }
    if (verb == "SET") {
        session.values[argument] = rest;
        return this->finish(session, done);
    }
    if (verb == "PREPARE") {
        bool isWrite = takeWord(rest) == "WRITE";
        session.prepared[argument] = { isWrite, rest };
        return this->finish(session, done);
    }
    if (verb == "ROLLBACK") {
        session.state = 'I';
        session.writes.clear();
        return this->finish(session, done);
    }
    if (verb == "BEGIN") {
        bool isReading = argument == "READ";
        if (!isReading && !backend.isPrimary)
            return this->finish(session, "ERR READONLY " + backend.id + "\r\n");
        session.state = 'T';
        session.isReadOnly = isReading;
        return this->finish(session, done);
    }
    if (verb == "COMMIT")
        return this->commit(session, lock);
    if (verb == "READ" || verb == "WRITE")
        return this->handleAccess(session, verb == "WRITE", argument, rest, lock);
    std::map<std::string, std::pair<bool, std::string>>::const_iterator prepared = session.prepared.find(argument);
    if (verb != "EXEC" || prepared == session.prepared.end())
        return this->finish(session, "ERR NOSUCHSTMT " + argument + "\r\n");
    std::string item = takeWord(rest);
    return this->handleAccess(session, prepared->second.first, item, rest, lock);
}

std::string BackendGroup::handleControl(Session& session, const std::string& verb, const std::string& argument)
{
    Backend& backend = *this->find(session.backend);
    std::uint64_t term = argument.empty() ? 0 : std::stoull(argument);
    if (verb == "PAUSE" && term > backend.term)
        backend.pauseTerm = term;
    if (verb == "RESUME")
        backend.pauseTerm = 0;
    if (verb == "DEMOTE" && backend.isPrimary && term > backend.term)
        backend.isPrimary = false;
    std::string row = std::string(backend.isPrimary ? "primary " : "replica ") + std::to_string(backend.term) + " " + formatPosition(backend) + " " + std::to_string(backend.pauseTerm) + " 0 0 " + std::to_string(backend.connections.size());
    return this->finish(session, "ROW " + row + "\r\nDONE -\r\n");
}

std::optional<std::string> BackendGroup::readItem(const Backend& backend, const std::string& item)
{
    for (std::vector<LogEntry>::const_reverse_iterator entry = backend.log.rbegin(); entry != backend.log.rend(); ++entry) {
        std::map<std::string, std::string>::const_iterator found = entry->writes.find(item);
        if (found != entry->writes.end())
            return found->second;
    }
    return std::nullopt;
}

std::string BackendGroup::handleAccess(Session& session, bool isWrite, const std::string& item, const std::string& data, std::unique_lock<std::mutex>& lock)
{
    const Backend& backend = *this->find(session.backend);
    bool needsPrimary = isWrite || (session.state == 'T' && !session.isReadOnly);
    if (needsPrimary && !backend.isPrimary) {
        session.state = session.state == 'T' ? 'E' : session.state;
        return this->finish(session, "ERR READONLY " + backend.id + "\r\n");
    }
    std::string signature = "DONE sig." + backend.id + "\r\n";
    if (!isWrite)
        return this->finish(session, "ROW " + readItem(backend, item).value_or("-") + "\r\n" + signature);
    session.writes[item] = data;
    if (session.state == 'T')
        return this->finish(session, signature);
    return this->commit(session, lock);
}

std::string BackendGroup::commit(Session& session, std::unique_lock<std::mutex>& lock)
{
    Backend& backend = *this->find(session.backend);
    std::map<std::string, std::string> writes = std::exchange(session.writes, {});
    session.state = 'I';
    std::string signature = "DONE sig." + backend.id + "\r\n";
    if (writes.empty())
        return this->finish(session, signature);
    if (!backend.isPrimary)
        return this->finish(session, "ERR READONLY " + backend.id + "\r\n");
    backend.log.push_back({ backend.term, writes });
    std::size_t number = backend.log.size();
    std::uint64_t term = backend.term;
    std::uint64_t start = this->starts[backend.id];
    bool isReceived = !this->isSynchronous;
    while (!isReceived) {
        // Without a response, nothing is promised.
        if (this->isStopping || this->starts[backend.id] != start || !backend.isPrimary)
            return "";
        isReceived = std::any_of(this->backends.begin(), this->backends.end(), [&](const std::unique_ptr<Backend>& other) {
            return other.get() != &backend && other->log.size() >= number && other->log[number - 1].term == term;
        });
        if (!isReceived)
            this->changed.wait_for(lock, std::chrono::milliseconds(pollMilliseconds));
    }
    return this->finish(session, signature);
}

void BackendGroup::receive(Backend& backend, const Backend& primary)
{
    bool isPaused = backend.pauseTerm > primary.term;
    if (&backend == &primary || !backend.isRunning || backend.isDeaf || isPaused || backend.isPrimary || backend.term > primary.term)
        return;
    std::size_t numCommon = std::min(backend.log.size(), primary.log.size());
    while (numCommon > 0 && backend.log[numCommon - 1].term != primary.log[numCommon - 1].term)
        numCommon--;
    backend.log.resize(numCommon);
    backend.log.insert(backend.log.end(), primary.log.begin() + static_cast<std::ptrdiff_t>(numCommon), primary.log.end());
    backend.term = primary.term;
    backend.pauseTerm = 0;
}

void BackendGroup::takeLead(const std::string& id)
{
    Backend& backend = *this->find(id);
    if (!backend.isRunning || (this->leader == id && backend.isPrimary))
        return;
    std::uint64_t term = 0;
    for (const std::unique_ptr<Backend>& other : this->backends)
        term = std::max(term, other->term);
    backend.term = term + 1;
    backend.isPrimary = true;
    backend.pauseTerm = 0;
    this->leader = id;
    if (this->listener)
        this->listener(id, backend.term, backend.log);
}

void BackendGroup::replicate()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->isStopping) {
        std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
        std::vector<std::string> due;
        for (const std::pair<std::chrono::steady_clock::time_point, std::string>& promotion : this->promotions) {
            if (promotion.first <= now)
                due.push_back(promotion.second);
        }
        this->promotions.erase(std::remove_if(this->promotions.begin(), this->promotions.end(), [now](const std::pair<std::chrono::steady_clock::time_point, std::string>& promotion) { return promotion.first <= now; }), this->promotions.end());
        for (const std::string& id : due)
            this->takeLead(id);
        Backend* primary = this->find(this->leader);
        if (primary != nullptr && primary->isRunning && primary->isPrimary) {
            for (const std::unique_ptr<Backend>& backend : this->backends) {
                bool isFormer = backend.get() != primary && backend->isPrimary && backend->isRunning;
                if (isFormer && !std::exchange(backend->isFormer, true))
                    backend->formerSince = now;
                if (isFormer && now - backend->formerSince >= stepDownTime)
                    backend->isPrimary = false;
                backend->isFormer = backend->isFormer && isFormer;
                this->receive(*backend, *primary);
            }
        }
        this->changed.notify_all();
        lock.unlock();
        std::this_thread::sleep_for(replicationInterval);
        lock.lock();
    }
}

} // namespace lentiljunction::review
