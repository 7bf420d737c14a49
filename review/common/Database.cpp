#include "Database.h"

#include "Sockets.h"

#include <algorithm>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

    std::int64_t getUnixMilliseconds()
    {
        return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

    std::string takeWord(std::string& text)
    {
        std::size_t space = text.find(' ');
        std::string word = text.substr(0, space);
        text = space == std::string::npos ? std::string() : text.substr(space + 1);
        return word;
    }

} // namespace

/// One connection of a process of the system.
class Database::Connection {
public:
    Connection(Database& database, Backend& backend, int descriptor)
        : database(database)
        , backend(backend)
        , descriptor(descriptor)
    {
    }

    void run()
    {
        std::string buffer;
        std::string line;
        while (takeLine(this->descriptor, buffer, line)) {
            this->waitWhileCutOff();
            std::string rest = line;
            std::string kind = takeWord(rest);
            if (kind == "TERMINATE" || (kind == "STARTUP" ? !this->onStartup(rest) : kind != "QUERY" || !this->onQuery(rest)))
                return;
        }
    }

private:
    void waitWhileCutOff()
    {
        std::unique_lock<std::mutex> lock(this->database.mutex);
        this->database.changed.wait(lock, [this] { return !this->backend.isCutOff; });
    }

    bool onStartup(std::string rest)
    {
        std::string service = takeWord(rest);
        takeWord(rest);
        if (service != this->database.options.service || (!rest.empty() && rest != this->backend.id)) {
            sendAll(this->descriptor, "ERR WRONGNODE " + this->backend.id + "\r\n");
            return false;
        }
        if (!this->database.takeSlot(this->backend)) {
            sendAll(this->descriptor, "ERR BUSY\r\n");
            return false;
        }
        std::this_thread::sleep_for(this->database.options.connectTime);
        this->database.freeSlot(this->backend);
        return this->sendReady("");
    }

    bool onQuery(std::string text)
    {
        std::string id = takeWord(text);
        if (id != "-") {
            std::lock_guard<std::mutex> lock(this->database.mutex);
            this->database.arrivals.push_back({ this->backend.id, id, text, this->database.record.getElapsed() });
        }
        std::string rest = text;
        std::string verb = takeWord(rest);
        if (verb == "WAITLSN") {
            std::string position = takeWord(rest);
            verb = takeWord(rest);
            std::uint64_t term = std::stoull(position);
            std::size_t number = std::stoull(position.substr(position.find('.') + 1));
            std::unique_lock<std::mutex> lock(this->database.mutex);
            const std::vector<Entry>& log = this->backend.log;
            bool isPresent = number == 0 || (log.size() >= number && log[number - 1].term == term);
            lock.unlock();
            if (!isPresent)
                return this->sendReady("ERR LAGGING\r\n");
        }
        return this->execute(id, verb, rest);
    }

    bool execute(const std::string& id, const std::string& verb, std::string rest)
    {
        if (verb == "RESET") {
            this->prepared.clear();
            return this->sendReady("DONE -\r\n");
        }
        if (verb == "SET" || verb == "DEALLOC")
            return this->sendReady("DONE -\r\n");
        if (verb == "PREPARE") {
            std::string name = takeWord(rest);
            this->prepared[name] = takeWord(rest);
            return this->sendReady("DONE -\r\n");
        }
        if (verb == "STATUS" || verb == "DEMOTE" || verb == "PAUSE" || verb == "RESUME")
            return this->control(verb, rest);
        if (verb == "BEGIN") {
            bool isReading = rest == "READ";
            std::unique_lock<std::mutex> lock(this->database.mutex);
            if (!isReading && !this->backend.isPrimary) {
                lock.unlock();
                return this->sendReady("ERR READONLY\r\n");
            }
            lock.unlock();
            this->state = 'T';
            this->isReadOnly = isReading;
            return this->sendReady("DONE -\r\n");
        }
        if (verb == "ROLLBACK") {
            this->writes.clear();
            this->state = 'I';
            return this->sendReady("DONE -\r\n");
        }
        return this->runInSlot(id, verb, rest);
    }

    bool control(const std::string& verb, const std::string& argument)
    {
        if (!this->database.takeSlot(this->backend))
            return this->sendReady("ERR BUSY\r\n");
        std::this_thread::sleep_for(this->database.options.statusTime);
        this->database.freeSlot(this->backend);
        std::unique_lock<std::mutex> lock(this->database.mutex);
        std::uint64_t term = argument.empty() ? 0 : std::stoull(argument);
        if (verb == "DEMOTE" && term > this->backend.term && this->backend.isPrimary) {
            this->backend.isPrimary = false;
            this->database.record.write(this->backend.id + ": DEMOTE " + argument + ", now a replica");
            this->database.report(this->backend);
        }
        if (verb == "PAUSE" && term > this->backend.term)
            this->backend.isPaused = true;
        if (verb == "RESUME")
            this->backend.isPaused = false;
        std::string row = std::string(this->backend.isPrimary ? "primary " : "replica ") + std::to_string(this->backend.term) + " " + formatHead(this->backend) + " 0 0 "
            + std::to_string(this->backend.numRunning) + " " + std::to_string(this->backend.connections.size());
        lock.unlock();
        return this->sendReady("ROW " + row + "\r\nDONE -\r\n");
    }

    bool runInSlot(const std::string& id, const std::string& verb, std::string rest)
    {
        std::string effective = verb;
        if (verb == "EXEC") {
            std::string name = takeWord(rest);
            if (this->prepared.count(name) == 0)
                return this->sendReady("ERR NOSUCHSTMT\r\n");
            effective = this->prepared[name];
        }
        std::string item = takeWord(rest);
        if (!this->database.takeSlot(this->backend))
            return this->sendReady("ERR BUSY\r\n");
        std::unique_lock<std::mutex> lock(this->database.mutex);
        this->database.running.insert(id);
        lock.unlock();
        if (this->database.workTime)
            std::this_thread::sleep_for(this->database.workTime(this->backend.id, effective + " " + item));
        lock.lock();
        if (effective == "READ")
            this->database.reads.push_back({ this->backend.id, id, this->backend.log.size() });
        std::string answer = this->apply(lock, effective, item, rest);
        this->database.running.erase(id);
        bool isRunning = this->backend.isRunning;
        lock.unlock();
        this->database.freeSlot(this->backend);
        return isRunning && this->sendReady(answer);
    }

    /// Runs a read, write or commit. The mutex is held.
    std::string apply(std::unique_lock<std::mutex>& lock, const std::string& verb, const std::string& item, const std::string& data)
    {
        bool needsPrimary = verb == "WRITE" || (this->state == 'T' && !this->isReadOnly && !(verb == "COMMIT" && this->writes.empty()));
        if (needsPrimary && !this->backend.isPrimary) {
            this->state = this->state == 'T' ? 'E' : this->state;
            return "ERR READONLY\r\n";
        }
        std::string signature = "DONE sig." + this->backend.id + "." + std::to_string(this->database.nextSignature++) + "\r\n";
        if (verb == "READ") {
            std::string value = "-";
            for (const Entry& entry : this->backend.log) {
                std::map<std::string, std::string>::const_iterator found = entry.writes.find(item);
                value = found == entry.writes.end() ? value : found->second;
            }
            return "ROW " + value + "\r\n" + signature;
        }
        if (verb == "WRITE")
            this->writes[item] = data;
        if (verb == "COMMIT" || this->state == 'I') {
            std::map<std::string, std::string> committed = std::move(this->writes);
            this->writes.clear();
            this->state = 'I';
            if (!committed.empty())
                this->database.commit(lock, this->backend, committed);
        }
        return signature;
    }

    bool sendReady(const std::string& before)
    {
        this->waitWhileCutOff();
        std::unique_lock<std::mutex> lock(this->database.mutex);
        std::string head = formatHead(this->backend);
        lock.unlock();
        return sendAll(this->descriptor, before + "READY " + this->state + " " + head + "\r\n");
    }

    Database& database;
    Backend& backend;
    int descriptor;
    char state = 'I';
    bool isReadOnly = false;
    std::map<std::string, std::string> prepared;
    std::map<std::string, std::string> writes;
};

Database::Database(Record& record, Platform& platform, Options options)
    : record(record)
    , platform(platform)
    , options(std::move(options))
    , replicationDelay(this->options.networkDelay)
{
    std::thread([this] { this->deliverForever(); }).detach();
}

void Database::add(const std::string& id, const std::string& zone)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::unique_ptr<Backend> backend = std::make_unique<Backend>();
    backend->id = id;
    backend->zone = zone;
    backend->born = getUnixMilliseconds();
    backend->isPrimary = this->backends.empty();
    backend->listener = listenOnLoopback(backend->port);
    for (const std::pair<const std::string, std::unique_ptr<Backend>>& other : this->backends) {
        if (!other.second->isPrimary || other.second->term < backend->term)
            continue;
        backend->term = other.second->term;
        backend->log = other.second->log;
    }
    Backend& added = *backend;
    this->backends.emplace(id, std::move(backend));
    this->report(added);
    serve(added.listener, [this, &added](int descriptor) { this->serveConnection(added, descriptor); });
}

void Database::serveConnection(Backend& backend, int descriptor)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    bool isRunning = backend.isRunning;
    if (isRunning)
        backend.connections.insert(descriptor);
    lock.unlock();
    if (isRunning)
        Connection(*this, backend, descriptor).run();
    lock.lock();
    backend.connections.erase(descriptor);
    ::close(descriptor);
}

void Database::report(const Backend& backend)
{
    this->platform.put("servers", backend.id, { { "service", this->options.service }, { "address", "127.0.0.1:" + std::to_string(backend.port) }, { "zone", backend.zone }, { "version", "v1" }, { "slots", this->options.slots }, { "state", backend.isDraining ? "draining" : "ready" }, { "cold_left_ms", 0 }, { "db_role", backend.isPrimary ? "primary" : "replica" }, { "seq_no", 1 }, { "born", backend.born } });
}

bool Database::takeSlot(Backend& backend)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    if (backend.numRunning >= this->options.slots && backend.numQueued >= this->options.maximumQueue)
        return false;
    backend.numQueued++;
    this->changed.wait(lock, [&] { return backend.numRunning < this->options.slots || !backend.isRunning; });
    backend.numQueued--;
    backend.numRunning++;
    return true;
}

void Database::freeSlot(Backend& backend)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    backend.numRunning--;
    this->changed.notify_all();
}

std::string Database::formatHead(const Backend& backend)
{
    return std::to_string(backend.log.empty() ? 1 : backend.log.back().term) + "." + std::to_string(backend.log.size());
}

void Database::commit(std::unique_lock<std::mutex>& lock, Backend& backend, const std::map<std::string, std::string>& writes)
{
    bool isFormer = std::any_of(this->backends.begin(), this->backends.end(), [&](const std::pair<const std::string, std::unique_ptr<Backend>>& other) {
        return other.second->isRunning && other.second->isPrimary && other.second->term > backend.term;
    });
    for (const std::pair<const std::string, std::string>& write : writes) {
        if (isFormer)
            this->formerPrimaryItems.insert(write.first);
    }
    backend.log.push_back({ backend.term, writes });
    std::size_t number = backend.log.size();
    std::uint64_t term = backend.term;
    this->deliveries.push_back({ SteadyClock::now() + this->replicationDelay.load(), backend.id, number, term });
    this->changed.notify_all();
    if (this->options.syncReplicas == 0)
        return;
    this->changed.wait(lock, [&] {
        bool isReceived = std::any_of(this->backends.begin(), this->backends.end(), [&](const std::pair<const std::string, std::unique_ptr<Backend>>& other) {
            return other.second.get() != &backend && other.second->isRunning && other.second->log.size() >= number && other.second->log[number - 1].term == term;
        });
        return isReceived || !backend.isRunning;
    });
}

void Database::deliverForever()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    for (;;) {
        this->changed.wait(lock, [this] { return !this->deliveries.empty(); });
        Delivery next = this->deliveries.front();
        this->deliveries.pop_front();
        lock.unlock();
        std::this_thread::sleep_until(next.at);
        lock.lock();
        this->deliver(next);
        this->changed.notify_all();
    }
}

void Database::deliver(const Delivery& delivery)
{
    const Backend& from = this->find(delivery.from);
    if (!from.isRunning || !from.isPrimary || from.term != delivery.term)
        return;
    for (const std::pair<const std::string, std::unique_ptr<Backend>>& other : this->backends) {
        Backend& to = *other.second;
        if (&to == &from || !to.isRunning || to.isDeaf || to.isPaused || to.isPrimary || to.term > from.term)
            continue;
        to.term = from.term;
        to.log.assign(from.log.begin(), from.log.begin() + static_cast<std::ptrdiff_t>(delivery.number));
    }
}

void Database::setDeaf(const std::string& id, bool isDeaf)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->find(id).isDeaf = isDeaf;
    this->record.write(id + (isDeaf ? ": receives no replication from now on, log at " : ": receives replication again, log at ") + formatHead(this->find(id)));
}

void Database::setCutOff(const std::string& id, bool isCutOff)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->find(id).isCutOff = isCutOff;
    this->record.write(id + (isCutOff ? ": cut off from the machines of the system, log at " : ": reached again by the machines of the system, log at ") + formatHead(this->find(id)));
    this->changed.notify_all();
}

void Database::crash(const std::string& id)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    Backend& backend = this->find(id);
    backend.isRunning = false;
    ::shutdown(backend.listener, SHUT_RDWR);
    ::close(backend.listener);
    for (int descriptor : backend.connections)
        ::shutdown(descriptor, SHUT_RDWR);
    this->record.write(id + ": crashed, log at " + formatHead(backend));
    this->changed.notify_all();
}

void Database::drain(const std::string& id)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->find(id).isDraining = true;
    this->report(this->find(id));
    this->record.write(id + ": reports draining, and the store has accepted it");
}

int Database::promote(const std::string& id)
{
    constexpr int accepted = 200;
    constexpr int notRunning = 409;
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->backends.count(id) == 0 || !this->find(id).isRunning)
        return notRunning;
    std::thread([this, id] {
        std::this_thread::sleep_for(this->options.promoteTime);
        std::lock_guard<std::mutex> effectLock(this->mutex);
        Backend& chosen = this->find(id);
        std::uint64_t highest = 0;
        for (const std::pair<const std::string, std::unique_ptr<Backend>>& other : this->backends)
            highest = std::max(highest, other.second->term);
        if (!chosen.isRunning || (chosen.isPrimary && chosen.term == highest))
            return;
        chosen.isPrimary = true;
        chosen.isPaused = false;
        chosen.term = highest + 1;
        this->record.write(id + ": promoted to term " + std::to_string(chosen.term) + ", log at " + formatHead(chosen));
        this->report(chosen);
        for (const std::pair<const std::string, std::unique_ptr<Backend>>& entry : this->backends) {
            Backend& other = *entry.second;
            if (&other == &chosen || !other.isRunning || other.isDeaf || other.isPrimary)
                continue;
            other.term = chosen.term;
            other.log = chosen.log;
        }
        // A former primary continues until a second after it can reach the new one.
        std::thread([this, id] {
            std::this_thread::sleep_for(Milliseconds(1000));
            std::lock_guard<std::mutex> demoteLock(this->mutex);
            const Backend& current = this->find(id);
            for (const std::pair<const std::string, std::unique_ptr<Backend>>& entry : this->backends) {
                Backend& other = *entry.second;
                if (&other == &current || !other.isRunning || !other.isPrimary || other.term >= current.term)
                    continue;
                other.isPrimary = false;
                other.term = current.term;
                other.log = current.log;
                this->report(other);
            }
        }).detach();
    }).detach();
    return accepted;
}

std::string Database::findPrimary()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::string found;
    std::uint64_t term = 0;
    for (const std::pair<const std::string, std::unique_ptr<Backend>>& backend : this->backends) {
        if (!backend.second->isRunning || !backend.second->isPrimary || backend.second->term < term)
            continue;
        found = backend.first;
        term = backend.second->term;
    }
    return found;
}

bool Database::hasCommit(const std::string& id, const std::string& item)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const std::vector<Entry>& log = this->find(id).log;
    return std::any_of(log.begin(), log.end(), [&item](const Entry& entry) { return entry.writes.count(item) > 0; });
}

bool Database::isCommittedByFormerPrimary(const std::string& item)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->formerPrimaryItems.count(item) > 0;
}

std::size_t Database::getLogSize(const std::string& id)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->find(id).log.size();
}

std::vector<Database::Arrival> Database::listArrivals()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->arrivals;
}

std::vector<Database::ReadRun> Database::listReads()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->reads;
}

std::size_t Database::findNumber(const std::string& id, const std::string& item)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    const std::vector<Entry>& log = this->find(id).log;
    for (std::size_t index = 0; index < log.size(); index++) {
        if (log[index].writes.count(item) > 0)
            return index + 1;
    }
    return 0;
}

std::set<std::string> Database::listRunning()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->running;
}

std::uint16_t Database::getPort(const std::string& id)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->find(id).port;
}

} // namespace review
