#include "LineUpstream.h"

#include <future>
#include <sstream>
#include <utility>

namespace lentiljunction::standin {

namespace {

    /// The same as on the users' sites.
    constexpr int slotsPerUpstream = 2;
    constexpr std::size_t maximumQueueLength = 16;

} // namespace

/// One connection of a gateway instance.
class LineUpstream::Connection : public TcpConnection::Listener {
public:
    Connection(LineUpstream& upstream, std::unique_ptr<TcpConnection> socket)
        : upstream(upstream)
        , socket(std::move(socket))
    {
    }

    void onSocketOpened() override { }
    void onSocketBytes(std::string& bytes) override
    {
        for (std::size_t end = bytes.find("\r\n"); end != std::string::npos; end = bytes.find("\r\n")) {
            std::string line = bytes.substr(0, end);
            bytes.erase(0, end + 2);
            if (this->upstream.fault != Fault::Silent)
                this->onLine(line);
        }
    }
    void onSocketClosed(const std::string&, bool) override { this->removeConnection(); }

private:
    void removeConnection()
    {
        std::shared_ptr<Connection> closedConnection(std::move(this->upstream.connections[this]));
        this->upstream.connections.erase(this);
        this->upstream.group.loop.post([closedConnection] {});
    }

    void onLine(const std::string& line)
    {
        std::istringstream stream(line);
        std::string word;
        stream >> word;
        if (word == "STARTUP")
            return this->onStartup(stream);
        if (word != "QUERY")
            return;
        std::string id;
        stream >> id;
        std::string text;
        std::getline(stream >> std::ws, text);
        this->upstream.group.checkName(this->name, id, text);
        this->onQuery(text);
    }

    void onStartup(std::istringstream& stream)
    {
        std::string group;
        std::string id;
        stream >> group >> this->name >> id;
        this->upstream.group.names.insert(this->name);
        if (group != this->upstream.group.getName() || (!id.empty() && id != this->upstream.id)) {
            this->socket->send("ERR WRONGNODE " + this->upstream.id + "\r\n");
            return;
        }
        this->runCommand([this] { this->sendReady(); });
    }

    void onQuery(std::string text)
    {
        if (text.rfind("WAITLSN ", 0) == 0) {
            std::istringstream wait(text.substr(8));
            std::uint64_t term = 0;
            std::uint64_t number = 0;
            char dot = '.';
            wait >> term >> dot >> number;
            if (this->upstream.headNumber < number) {
                this->upstream.group.numBehindReplies++;
                return this->sendError("LAGGING " + this->upstream.id);
            }
            std::getline(wait >> std::ws, text);
        }
        std::istringstream stream(text);
        std::string verb;
        std::string name;
        std::string data;
        stream >> verb >> name;
        std::getline(stream >> std::ws, data);
        this->run(verb, name, data);
    }

    void run(const std::string& verb, const std::string& name, const std::string& data)
    {
        if (verb == "STATUS" || verb == "DEMOTE" || verb == "PAUSE" || verb == "RESUME")
            return this->runCommand([this, verb, name] { this->control(verb, name); });
        if (verb == "RESET") {
            this->sessionVariables.clear();
            this->preparedStatements.clear();
            return this->sendDone("-");
        }
        if (verb == "SET") {
            this->sessionVariables[name] = data;
            return this->sendDone("-");
        }
        if (verb == "PREPARE") {
            this->preparedStatements[name] = data.substr(0, data.find(' '));
            return this->sendDone("-");
        }
        if (verb == "ROLLBACK")
            return this->endTransaction("-");
        if (verb == "BEGIN")
            return this->begin(name == "READ");
        this->runInSlot(verb, name, data);
    }

    void control(const std::string& verb, const std::string& name)
    {
        if (verb == "DEMOTE" && std::stoull(name) > this->upstream.term) {
            this->upstream.group.setRole(this->upstream, false);
            this->upstream.group.learnLater(this->upstream);
        }
        // Replication stops only for a term above the current one.
        if (verb == "PAUSE" || verb == "RESUME")
            this->upstream.isPaused = verb == "PAUSE" && !name.empty() && std::stoull(name) > this->upstream.term;
        this->sendStatus();
    }

    /// Runs at once, or in a slot where commands need one.
    void runCommand(const std::function<void()>& command)
    {
        if (!this->upstream.group.areSlotsHeldByCommits)
            return command();
        std::weak_ptr<bool> alive = this->isAlive;
        bool isTaken = this->upstream.runWhenSlotFree([alive, command](const Slot&) {
            if (!alive.expired())
                command();
        });
        if (!isTaken)
            this->sendError("BUSY no slot");
    }

    void begin(bool isReading)
    {
        if (!isReading && !this->upstream.isPrimary)
            return this->sendError("READONLY " + this->upstream.id);
        this->state = 'T';
        this->isReadOnly = isReading;
        this->sendDone("-");
    }

    void runInSlot(const std::string& verb, const std::string& name, const std::string& data)
    {
        std::weak_ptr<bool> alive = this->isAlive;
        bool isTaken = this->upstream.fault != Fault::Busy && this->upstream.runWhenSlotFree([this, alive, verb, name, data](const Slot& slot) {
            // A closed connection has rolled its transaction back.
            if (!alive.expired())
                this->execute(verb, name, data, slot);
        });
        if (!isTaken)
            this->sendError("BUSY no slot");
    }

    void execute(const std::string& verb, const std::string& name, const std::string& data, const Slot& slot)
    {
        bool isExecuted = verb == "EXEC";
        if (isExecuted && this->preparedStatements.count(name) == 0)
            return this->sendError("NOSUCHSTMT " + name);
        std::string effective = isExecuted ? this->preparedStatements[name] : verb;
        std::string item = isExecuted ? data.substr(0, data.find(' ')) : name;
        std::string value = isExecuted ? data.substr(std::min(data.size(), item.size() + 1)) : data;
        bool needsPrimary = effective == "WRITE" || (this->state == 'T' && !this->isReadOnly);
        if (needsPrimary && !this->upstream.isPrimary) {
            this->state = this->state == 'T' ? 'E' : this->state;
            return this->sendError("READONLY " + this->upstream.id);
        }
        if (effective == "READ" && this->upstream.fault == Fault::FailsReads)
            return this->sendError("FAILED disk");
        if (effective == "READ") {
            std::map<std::string, std::string>::const_iterator found = this->upstream.items.find(item);
            std::string row = "ROW " + (found == this->upstream.items.end() ? std::string("-") : found->second) + "\r\n";
            std::size_t numRows = item.rfind("long", 0) == 0 ? this->upstream.group.numLongRows.load() : 1;
            std::string rows;
            for (std::size_t number = 0; number < numRows; number++)
                rows += row;
            this->socket->send(rows);
            return this->sendDone("sig." + this->upstream.id);
        }
        if (effective == "WRITE")
            this->writes[item] = value;
        if (effective == "COMMIT" || this->state == 'I') {
            std::weak_ptr<bool> alive = this->isAlive;
            Slot heldSlot = this->upstream.group.areSlotsHeldByCommits ? slot : nullptr;
            return this->upstream.group.commit(this->upstream, this->writes, [this, alive, heldSlot] {
                if (!alive.expired())
                    this->endTransaction("sig." + this->upstream.id);
            });
        }
        this->sendDone("sig." + this->upstream.id);
    }

    void endTransaction(const std::string& signature)
    {
        bool isResponseDropped = this->upstream.fault == Fault::DropsResponses && !this->writes.empty();
        this->writes.clear();
        this->state = 'I';
        if (!isResponseDropped)
            this->sendDone(signature);
    }

    void sendStatus()
    {
        this->socket->send(std::string("ROW ") + (this->upstream.isPrimary ? "primary " : "replica ") + std::to_string(this->upstream.term) + " " + this->formatHead() + " 0 0 0 1\r\n");
        this->sendDone("-");
    }

    void sendDone(const std::string& signature)
    {
        this->socket->send("DONE " + signature + "\r\n");
        this->sendReady();
    }

    void sendError(const std::string& what)
    {
        this->socket->send("ERR " + what + "\r\n");
        this->sendReady();
    }

    void sendReady() { this->socket->send(std::string("READY ") + this->state + " " + this->formatHead() + "\r\n"); }
    std::string formatHead() const { return std::to_string(this->upstream.headTerm) + "." + std::to_string(this->upstream.headNumber); }

    LineUpstream& upstream;
    std::unique_ptr<TcpConnection> socket;
    /// The name under which the connection was opened.
    std::string name;
    std::map<std::string, std::string> sessionVariables;
    std::map<std::string, std::string> preparedStatements;
    std::map<std::string, std::string> writes;
    char state = 'I';
    bool isReadOnly = false;
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

LineUpstream::LineUpstream(LineGroup& group, std::string id, Endpoint endpoint)
    : group(group)
    , id(std::move(id))
    , endpoint(std::move(endpoint))
{
}

LineUpstream::~LineUpstream() = default;

bool LineUpstream::runWhenSlotFree(Statement statement)
{
    if (this->group.serviceTime.count() == 0 && !this->group.areSlotsHeldByCommits) {
        statement(nullptr);
        return true;
    }
    if (this->queue.size() >= maximumQueueLength)
        return false;
    this->queue.push_back(std::move(statement));
    this->startNextStatement();
    return true;
}

void LineUpstream::startNextStatement()
{
    if (this->numExecuting >= slotsPerUpstream || this->queue.empty())
        return;
    Statement statement = std::move(this->queue.front());
    this->queue.pop_front();
    this->group.loop.schedule(this->group.serviceTime, [slot = this->takeSlot(), statement = std::move(statement)] { statement(slot); });
}

LineUpstream::Slot LineUpstream::takeSlot()
{
    this->numExecuting++;
    std::weak_ptr<bool> start = this->currentStart;
    return Slot(this, [start](LineUpstream* upstream) {
        if (start.expired())
            return;
        upstream->numExecuting--;
        upstream->startNextStatement();
    });
}

bool LineUpstream::listen(Failure& failure)
{
    this->port = std::make_unique<TcpServer>(this->group.loop);
    this->isRunning = this->port->listen(
        this->endpoint, [this](std::unique_ptr<TcpConnection> socket) -> TcpConnection::Listener& {
            std::unique_ptr<Connection> connection = std::make_unique<Connection>(*this, std::move(socket));
            Connection* raw = connection.get();
            this->connections.emplace(raw, std::move(connection));
            return *raw;
        },
        failure);
    return this->isRunning;
}

void LineUpstream::crash()
{
    this->isRunning = false;
    this->currentStart = std::make_shared<bool>(true);
    this->numExecuting = 0;
    this->queue.clear();
    this->port->close();
    this->connections.clear();
}

} // namespace lentiljunction::standin
