#include "PostgresServer.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace lentiljunction::standins {

namespace {

    constexpr std::int32_t protocolVersion = 196608;
    constexpr std::int32_t sslRequest = 80877103;
    constexpr std::int32_t gssRequest = 80877104;
    constexpr std::int32_t textType = 25;
    constexpr int listenBacklog = 128;
    constexpr int maximumMessage = 64 << 20;
    constexpr int idleInTransactionMilliseconds = 2000;
    constexpr int forever = -1;

} // namespace

/// Reads and writes the messages of one connection.
class Wire {
public:
    explicit Wire(int descriptor)
        : descriptor(descriptor)
    {
    }

    ~Wire() { ::close(this->descriptor); }
    Wire(const Wire&) = delete;
    Wire& operator=(const Wire&) = delete;

    bool waitReadable(int milliseconds)
    {
        pollfd entry { this->descriptor, POLLIN, 0 };
        return ::poll(&entry, 1, milliseconds) > 0;
    }

    bool read(std::string& bytes, std::size_t size)
    {
        bytes.resize(size);
        std::size_t done = 0;
        while (done < size) {
            ssize_t count = ::recv(this->descriptor, &bytes[done], size - done, 0);
            if (count <= 0)
                return false;
            done += static_cast<std::size_t>(count);
        }
        return true;
    }

    bool readNumber(std::int32_t& number)
    {
        std::string bytes;
        if (!this->read(bytes, sizeof(number)))
            return false;
        std::uint32_t network = 0;
        std::copy(bytes.begin(), bytes.end(), reinterpret_cast<char*>(&network));
        number = static_cast<std::int32_t>(ntohl(network));
        return true;
    }

    void begin(char kind)
    {
        this->out.push_back(kind);
        this->lengthAt = this->out.size();
        this->addNumber(0);
    }

    void end()
    {
        std::uint32_t length = htonl(static_cast<std::uint32_t>(this->out.size() - this->lengthAt));
        this->out.replace(this->lengthAt, sizeof(length), reinterpret_cast<const char*>(&length), sizeof(length));
    }

    void addNumber(std::int32_t number)
    {
        std::uint32_t network = htonl(static_cast<std::uint32_t>(number));
        this->out.append(reinterpret_cast<const char*>(&network), sizeof(network));
    }

    void addShort(std::int16_t number)
    {
        std::uint16_t network = htons(static_cast<std::uint16_t>(number));
        this->out.append(reinterpret_cast<const char*>(&network), sizeof(network));
    }

    void addText(const std::string& text)
    {
        this->out += text;
        this->out.push_back(0);
    }

    void addRaw(const std::string& bytes) { this->out += bytes; }

    bool flush()
    {
        std::string bytes = std::exchange(this->out, {});
        return ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
    }

    void discardOutput() { this->out.clear(); }

private:
    int descriptor;
    std::string out;
    std::size_t lengthAt = 0;
};

namespace {

    void addError(Wire& wire, const SqlError& error)
    {
        wire.begin('E');
        wire.addText("SERROR");
        wire.addText("C" + error.sqlState);
        wire.addText("M" + error.message);
        wire.addRaw(std::string(1, 0));
        wire.end();
    }

    void addRows(Wire& wire, const ResultSet& rows)
    {
        wire.begin('T');
        wire.addShort(static_cast<std::int16_t>(rows.columns.size()));
        for (const std::string& column : rows.columns) {
            wire.addText(column);
            wire.addNumber(0);
            wire.addShort(0);
            wire.addNumber(textType);
            wire.addShort(-1);
            wire.addNumber(-1);
            wire.addShort(0);
        }
        wire.end();
        for (const std::vector<std::optional<std::string>>& row : rows.rows) {
            wire.begin('D');
            wire.addShort(static_cast<std::int16_t>(row.size()));
            for (const std::optional<std::string>& cell : row) {
                wire.addNumber(cell ? static_cast<std::int32_t>(cell->size()) : -1);
                wire.addRaw(cell.value_or(""));
            }
            wire.end();
        }
    }

    void addReady(Wire& wire, const SessionState& session)
    {
        wire.begin('Z');
        char state = session.isInTransaction ? 'T' : 'I';
        wire.addRaw(std::string(1, session.isFailed ? 'E' : state));
        wire.end();
    }

    void addParameter(Wire& wire, const std::string& name, const std::string& value)
    {
        wire.begin('S');
        wire.addText(name);
        wire.addText(value);
        wire.end();
    }

    /// Reads the start-up message, after refusals of encryption.
    bool readStartup(Wire& wire, std::string& parameters)
    {
        while (true) {
            std::int32_t length = 0;
            std::int32_t code = 0;
            if (!wire.readNumber(length) || length < 8 || length > maximumMessage || !wire.readNumber(code))
                return false;
            if (!wire.read(parameters, static_cast<std::size_t>(length) - 8))
                return false;
            if (code == protocolVersion)
                return true;
            if (code != sslRequest && code != gssRequest)
                return false;
            wire.addRaw("N");
            wire.flush();
        }
    }

    std::string findParameter(const std::string& parameters, const std::string& name)
    {
        std::size_t at = parameters.find(name + std::string(1, 0));
        return at == std::string::npos ? "" : std::string(parameters.c_str() + at + name.size() + 1);
    }

    std::string findZone(const std::string& applicationName)
    {
        std::size_t begin = applicationName.find("zone=");
        if (begin == std::string::npos)
            return {};
        begin += 5;
        return applicationName.substr(begin, applicationName.find(';', begin) - begin);
    }

    void addGreeting(Wire& wire, const SessionState& session)
    {
        wire.begin('R');
        wire.addNumber(0);
        wire.end();
        addParameter(wire, "server_version", "15.0");
        addParameter(wire, "client_encoding", "UTF8");
        addParameter(wire, "standard_conforming_strings", "on");
        addReady(wire, session);
    }

    bool readMessage(Wire& wire, std::string& kind, std::string& body)
    {
        constexpr std::int32_t lengthBytes = 4;
        std::int32_t length = 0;
        bool hasHeader = wire.read(kind, 1) && wire.readNumber(length);
        bool isSane = hasHeader && length >= lengthBytes && length <= maximumMessage;
        return isSane && wire.read(body, static_cast<std::size_t>(length - lengthBytes));
    }

    void executeBatch(Wire& wire, SqlEngine& engine, SessionState& session, const std::string& batch)
    {
        std::vector<std::string> statements = splitBatch(batch);
        for (const std::string& statement : statements) {
            StatementResult result = engine.execute(session, statement);
            if (result.error) {
                addError(wire, *result.error);
                break;
            }
            if (!result.rows.columns.empty())
                addRows(wire, result.rows);
            wire.begin('C');
            wire.addText(result.tag);
            wire.end();
        }
        if (statements.empty()) {
            wire.begin('I');
            wire.end();
        }
        addReady(wire, session);
    }

} // namespace

PostgresServer::PostgresServer(Settings settings, SqlEngine& engine, FaultSwitch& faults)
    : settings(std::move(settings))
    , engine(engine)
    , faults(faults)
{
}

bool PostgresServer::run()
{
    int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    int enabled = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(this->settings.port));
    ::inet_pton(AF_INET, this->settings.address.c_str(), &address.sin_addr);
    if (::bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || ::listen(listener, listenBacklog) != 0)
        return false;

    while (true) {
        int descriptor = ::accept(listener, nullptr, nullptr);
        if (descriptor < 0)
            continue;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        std::thread([this, descriptor] { this->serve(descriptor); }).detach();
    }
}

void PostgresServer::serve(int descriptor)
{
    Wire wire(descriptor);
    std::string parameters;
    if (!readStartup(wire, parameters))
        return;

    const std::string zone = findZone(findParameter(parameters, "application_name"));
    std::uint64_t generation = this->faults.getSilenceGeneration();
    std::this_thread::sleep_for(this->settings.openTime + 2 * this->faults.getDelay(zone));
    this->faults.waitWhileFrozen();
    if (++this->numConnections > this->settings.maximumConnections) {
        addError(wire, { "53300", "too many connections" });
        wire.flush();
    } else {
        SessionState session;
        session.mayControl = findParameter(parameters, "user") == "lentiljunction_control";
        this->serveSession(wire, session, zone, generation);
        this->engine.abandon(session);
    }
    this->numConnections--;
}

void PostgresServer::serveSession(Wire& wire, SessionState& session, const std::string& zone, std::uint64_t generation)
{
    std::function<bool()> isSilenced = [&] { return generation != this->faults.getSilenceGeneration() || this->faults.isCut(zone); };
    addGreeting(wire, session);
    if (isSilenced())
        wire.discardOutput();
    bool isOpen = wire.flush();

    std::string kind;
    std::string body;
    while (isOpen) {
        bool hasInput = wire.waitReadable(session.isInTransaction ? idleInTransactionMilliseconds : forever);
        isOpen = hasInput && readMessage(wire, kind, body) && kind != "X";
        if (!isOpen)
            return;

        std::this_thread::sleep_for(this->faults.getDelay(zone));
        this->faults.waitWhileFrozen();
        if (isSilenced())
            continue;
        if (kind == "Q")
            executeBatch(wire, this->engine, session, body.c_str());
        std::this_thread::sleep_for(this->faults.getDelay(zone));
        this->faults.waitWhileFrozen();
        if (isSilenced() || this->faults.takeLostAnswer())
            wire.discardOutput();
        else
            isOpen = wire.flush();
    }
}

} // namespace lentiljunction::standins
