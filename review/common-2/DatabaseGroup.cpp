#include "DatabaseGroup.h"

#include <arpa/inet.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace lentiljunction::review {

namespace {

    constexpr int accepted = 200;
    constexpr int refused = 409;
    constexpr int backlog = 64;
    constexpr std::chrono::milliseconds promotionTime { 300 };
    constexpr std::chrono::milliseconds stepDownTime { 1000 };

    bool sendAll(int connection, const std::string& bytes)
    {
        for (std::size_t numSent = 0; numSent < bytes.size();) {
            ssize_t size = ::send(connection, bytes.data() + numSent, bytes.size() - numSent, MSG_NOSIGNAL);
            if (size <= 0)
                return false;
            numSent += static_cast<std::size_t>(size);
        }
        return true;
    }

} // namespace

DatabaseGroup::DatabaseGroup(Record& record)
    : record(record)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const char* const ids[] = { "u1", "u2", "u3" };
    for (std::size_t index = 0; index < this->backends.size(); index++) {
        this->backends[index].id = ids[index];
        this->open(this->backends[index]);
    }
    this->leader = &this->backends[0];
    this->leader->isPrimary = true;
}

DatabaseGroup::~DatabaseGroup()
{
    for (const char* id : { "u1", "u2", "u3" })
        this->crash(id);
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->isStopping = true;
        this->changed.notify_all();
    }
    for (std::thread& thread : this->threads)
        thread.join();
}

void DatabaseGroup::setRoleListener(RoleListener newListener)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->listener = std::move(newListener);
    for (const Backend& backend : this->backends)
        this->report(backend);
}

void DatabaseGroup::report(const Backend& backend)
{
    if (this->listener)
        this->listener(backend.id, backend.port, backend.isPrimary, backend.isRunning);
}

DatabaseGroup::Backend& DatabaseGroup::find(const std::string& id)
{
    return this->backends[static_cast<std::size_t>(id.back() - '1')];
}

void DatabaseGroup::startThread(std::function<void()> task)
{
    std::lock_guard<std::mutex> lock(this->threadsMutex);
    this->threads.emplace_back(std::move(task));
}

void DatabaseGroup::open(Backend& backend)
{
    backend.listener = ::socket(AF_INET, SOCK_STREAM, 0);
    int isReused = 1;
    ::setsockopt(backend.listener, SOL_SOCKET, SO_REUSEADDR, &isReused, sizeof isReused);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(backend.port);
    ::inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    ::bind(backend.listener, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    socklen_t size = sizeof address;
    ::getsockname(backend.listener, reinterpret_cast<sockaddr*>(&address), &size);
    backend.port = ntohs(address.sin_port);
    ::listen(backend.listener, backlog);
    backend.isRunning = true;
    backend.pausedBelowTerm = 0;
    backend.numStarts++;
    this->startThread([this, &backend, opened = backend.listener] { this->accept(backend, opened); });
}

void DatabaseGroup::accept(Backend& backend, int opened)
{
    for (int connection = ::accept(opened, nullptr, nullptr); connection >= 0; connection = ::accept(opened, nullptr, nullptr)) {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (!backend.isRunning || backend.listener != opened) {
            ::close(connection);
            continue;
        }
        backend.connections.insert(connection);
        this->startThread([this, &backend, connection] { this->serve(backend, connection); });
    }
    ::close(opened);
}

void DatabaseGroup::serve(Backend& backend, int connection)
{
    std::string buffer;
    Session session;
    char bytes[4096];
    bool isOpen = true;
    for (ssize_t size = ::recv(connection, bytes, sizeof bytes, 0); isOpen && size > 0; size = ::recv(connection, bytes, sizeof bytes, 0)) {
        buffer.append(bytes, static_cast<std::size_t>(size));
        for (std::size_t end = buffer.find("\r\n"); isOpen && end != std::string::npos; end = buffer.find("\r\n")) {
            std::string line = buffer.substr(0, end);
            buffer.erase(0, end + 2);
            std::unique_lock<std::mutex> lock(this->mutex);
            std::string response;
            if (line.rfind("QUERY ", 0) == 0)
                response = this->answer(backend, session, line.substr(line.find(' ', 6) + 1), lock);
            std::string state = std::string("READY ") + (session.isInTransaction ? "T " : "I ") + std::to_string(backend.headTerm) + "." + std::to_string(backend.headNumber) + "\r\n";
            isOpen = backend.isRunning && backend.connections.count(connection) > 0;
            lock.unlock();
            isOpen = isOpen && sendAll(connection, response + state);
        }
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    backend.connections.erase(connection);
    ::close(connection);
}

std::string DatabaseGroup::answer(Backend& backend, Session& session, std::string text, std::unique_lock<std::mutex>& lock)
{
    std::string done = "DONE sig." + backend.id + "\r\n";
    if (text.rfind("WAITLSN ", 0) == 0) {
        std::istringstream wait(text.substr(8));
        std::uint64_t term = 0;
        std::uint64_t number = 0;
        char dot = '.';
        wait >> term >> dot >> number;
        if (std::make_pair(backend.headTerm, backend.headNumber) < std::make_pair(term, number))
            return "ERR LAGGING " + backend.id + "\r\n";
        std::getline(wait >> std::ws, text);
    }
    std::istringstream stream(text);
    std::string verb;
    std::string name;
    stream >> verb >> name;
    if (verb == "DEMOTE" && backend.isPrimary && std::stoull(name) > backend.term) {
        backend.isPrimary = false;
        this->record.add(backend.id + " became a replica by DEMOTE");
        this->report(backend);
        this->replicate();
    }
    if (verb == "PAUSE" && !backend.isPrimary && std::stoull(name) > backend.term)
        backend.pausedBelowTerm = std::stoull(name);
    if (verb == "RESUME") {
        backend.pausedBelowTerm = 0;
        this->replicate();
    }
    if (verb == "STATUS" || verb == "DEMOTE" || verb == "PAUSE" || verb == "RESUME")
        return std::string("ROW ") + (backend.isPrimary ? "primary " : "replica ") + std::to_string(backend.term) + " " + std::to_string(backend.headTerm) + "." + std::to_string(backend.headNumber) + " " + std::to_string(backend.term) + " 0 0 1\r\nDONE -\r\n";
    if (verb == "ROLLBACK") {
        session = Session();
        return "DONE -\r\n";
    }
    if (verb == "BEGIN") {
        if (name != "READ" && !backend.isPrimary)
            return "ERR READONLY " + backend.id + "\r\n";
        session.isInTransaction = true;
        session.isReadOnly = name == "READ";
        return "DONE -\r\n";
    }
    if (verb == "READ")
        return std::string("ROW ") + (backend.items.count(name) > 0 ? "v" : "-") + "\r\n" + done;
    if (verb != "WRITE" && verb != "COMMIT")
        return "DONE -\r\n";
    if (!backend.isPrimary && !session.isReadOnly)
        return "ERR READONLY " + backend.id + "\r\n";
    if (verb == "WRITE")
        session.writes.insert(name);
    return verb == "COMMIT" || !session.isInTransaction ? this->commit(backend, session, lock) : done;
}

std::string DatabaseGroup::commit(Backend& backend, Session& session, std::unique_lock<std::mutex>& lock)
{
    if (!session.writes.empty()) {
        backend.items.insert(session.writes.begin(), session.writes.end());
        backend.headTerm = backend.term;
        backend.headNumber++;
        std::uint64_t number = backend.headNumber;
        std::uint64_t term = backend.term;
        int start = backend.numStarts;
        this->replicate();
        this->changed.wait(lock, [&] {
            bool isReceived = false;
            for (const Backend& other : this->backends)
                isReceived = isReceived || (&other != &backend && other.isRunning && other.headTerm == term && other.headNumber >= number);
            return isReceived || this->isStopping || backend.numStarts != start || !backend.isRunning;
        });
    }
    session = Session();
    return "DONE sig." + backend.id + "\r\n";
}

/// Lets the replicas that receive have the log of the leader. The lock is held.
void DatabaseGroup::replicate()
{
    if (!this->leader->isRunning || !this->leader->isPrimary)
        return;
    for (Backend& backend : this->backends) {
        bool isReceiving = backend.isRunning && !backend.isPrimary && !backend.isDeaf && this->leader->term >= backend.pausedBelowTerm;
        if (!isReceiving || &backend == this->leader)
            continue;
        backend.pausedBelowTerm = 0;
        backend.term = this->leader->term;
        backend.headTerm = this->leader->headTerm;
        backend.headNumber = this->leader->headNumber;
        backend.items = this->leader->items;
    }
    this->changed.notify_all();
}

int DatabaseGroup::promote(const std::string& id)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const Backend& chosen = this->find(id);
    this->record.add("the platform is asked to promote " + id);
    if (!chosen.isRunning)
        return refused;
    if (!chosen.isPrimary || &chosen != this->leader)
        this->startThread([this, id] { this->takeLead(id); });
    return accepted;
}

void DatabaseGroup::takeLead(const std::string& id)
{
    std::this_thread::sleep_for(promotionTime);
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        Backend& chosen = this->find(id);
        if (!chosen.isRunning || (&chosen == this->leader && chosen.isPrimary))
            return;
        chosen.term = this->leader->term + 1;
        chosen.isPrimary = true;
        chosen.pausedBelowTerm = 0;
        this->leader = &chosen;
        this->numPromotions++;
        this->record.add(id + " leads term " + std::to_string(chosen.term) + " with the log " + std::to_string(chosen.headTerm) + "." + std::to_string(chosen.headNumber));
        this->report(chosen);
        this->replicate();
    }
    std::this_thread::sleep_for(stepDownTime);
    std::lock_guard<std::mutex> lock(this->mutex);
    for (Backend& backend : this->backends) {
        if (&backend == this->leader || !backend.isPrimary || !backend.isRunning)
            continue;
        backend.isPrimary = false;
        this->report(backend);
    }
    this->replicate();
}

void DatabaseGroup::setDeaf(const std::string& id, bool isDeaf)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->find(id).isDeaf = isDeaf;
    this->record.add(id + (isDeaf ? " receives nothing from now on" : " receives again"));
    this->replicate();
}

void DatabaseGroup::crash(const std::string& id)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    Backend& backend = this->find(id);
    if (!backend.isRunning)
        return;
    backend.isRunning = false;
    ::shutdown(backend.listener, SHUT_RDWR);
    for (int connection : backend.connections)
        ::shutdown(connection, SHUT_RDWR);
    backend.connections.clear();
    this->record.add(id + " has crashed with the log " + std::to_string(backend.headTerm) + "." + std::to_string(backend.headNumber));
    this->changed.notify_all();
}

void DatabaseGroup::restartWithLog(const std::string& id)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    Backend& backend = this->find(id);
    backend.isPrimary = this->leader == &backend;
    this->open(backend);
    this->record.add(id + " starts again with its log as a " + (backend.isPrimary ? "primary" : "replica"));
    this->report(backend);
    this->replicate();
}

void DatabaseGroup::restartWithoutLog(const std::string& id)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    Backend& backend = this->find(id);
    backend.isPrimary = false;
    backend.term = 0;
    backend.headTerm = 0;
    backend.headNumber = 0;
    backend.items.clear();
    this->open(backend);
    this->record.add(id + " starts again and holds nothing of before");
    this->report(backend);
    this->replicate();
}

std::set<std::string> DatabaseGroup::findPrimaryLogAtPromotion()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->leader->items;
}

int DatabaseGroup::getNumPromotions()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->numPromotions;
}

} // namespace lentiljunction::review
