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
    constexpr std::int32_t textTypeOid = 25;
    constexpr int listenBacklog = 128;
    constexpr int maximumMessageBytes = 64 << 20;
    constexpr int idleInTransactionTimeoutMilliseconds = 2000;
    constexpr int noTimeout = -1;

} // namespace

/// Reads and writes the protocol messages of one connection.
class MessageStream {
public:
    explicit MessageStream(int descriptor)
        : descriptor(descriptor)
    {
    }

    ~MessageStream() { ::close(this->descriptor); }
    MessageStream(const MessageStream&) = delete;
    MessageStream& operator=(const MessageStream&) = delete;

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
        this->output.push_back(kind);
        this->lengthOffset = this->output.size();
        this->addNumber(0);
    }

    void end()
    {
        std::uint32_t length = htonl(static_cast<std::uint32_t>(this->output.size() - this->lengthOffset));
        this->output.replace(this->lengthOffset, sizeof(length), reinterpret_cast<const char*>(&length), sizeof(length));
    }

    void addNumber(std::int32_t number)
    {
        std::uint32_t network = htonl(static_cast<std::uint32_t>(number));
        this->output.append(reinterpret_cast<const char*>(&network), sizeof(network));
    }

    void addShort(std::int16_t number)
    {
        std::uint16_t network = htons(static_cast<std::uint16_t>(number));
        this->output.append(reinterpret_cast<const char*>(&network), sizeof(network));
    }

    void addText(const std::string& text)
    {
        this->output += text;
        this->output.push_back(0);
    }

    void addRaw(const std::string& bytes) { this->output += bytes; }

    bool flush()
    {
        std::string bytes = std::exchange(this->output, {});
        return ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
    }

    void discardOutput() { this->output.clear(); }

private:
    int descriptor;
    std::string output;
    std::size_t lengthOffset = 0;
};

namespace {

    void addError(MessageStream& stream, const SqlError& error)
    {
        stream.begin('E');
        stream.addText("SERROR");
        stream.addText("C" + error.sqlState);
        stream.addText("M" + error.message);
        stream.addRaw(std::string(1, 0));
        stream.end();
    }

    void addRows(MessageStream& stream, const ResultSet& rows)
    {
        stream.begin('T');
        stream.addShort(static_cast<std::int16_t>(rows.columns.size()));
        for (const std::string& column : rows.columns) {
            stream.addText(column);
            stream.addNumber(0);
            stream.addShort(0);
            stream.addNumber(textTypeOid);
            stream.addShort(-1);
            stream.addNumber(-1);
            stream.addShort(0);
        }
        stream.end();
        for (const std::vector<std::optional<std::string>>& row : rows.rows) {
            stream.begin('D');
            stream.addShort(static_cast<std::int16_t>(row.size()));
            for (const std::optional<std::string>& cell : row) {
                stream.addNumber(cell ? static_cast<std::int32_t>(cell->size()) : -1);
                stream.addRaw(cell.value_or(""));
            }
            stream.end();
        }
    }

    void addReady(MessageStream& stream, const SessionState& session)
    {
        stream.begin('Z');
        char state = session.isInTransaction ? 'T' : 'I';
        stream.addRaw(std::string(1, session.isFailed ? 'E' : state));
        stream.end();
    }

    void addParameter(MessageStream& stream, const std::string& name, const std::string& value)
    {
        stream.begin('S');
        stream.addText(name);
        stream.addText(value);
        stream.end();
    }

    /// Reads the start-up message. Declines requests for encryption that precede it.
    bool readStartup(MessageStream& stream, std::string& parameters)
    {
        while (true) {
            std::int32_t length = 0;
            std::int32_t code = 0;
            if (!stream.readNumber(length) || length < 8 || length > maximumMessageBytes || !stream.readNumber(code))
                return false;
            if (!stream.read(parameters, static_cast<std::size_t>(length) - 8))
                return false;
            if (code == protocolVersion)
                return true;
            if (code != sslRequest && code != gssRequest)
                return false;
            stream.addRaw("N");
            stream.flush();
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

    void addStartupResponse(MessageStream& stream, const SessionState& session)
    {
        stream.begin('R');
        stream.addNumber(0);
        stream.end();
        addParameter(stream, "server_version", "15.0");
        addParameter(stream, "client_encoding", "UTF8");
        addParameter(stream, "standard_conforming_strings", "on");
        addReady(stream, session);
    }

    bool readMessage(MessageStream& stream, std::string& kind, std::string& body)
    {
        constexpr std::int32_t lengthBytes = 4;
        std::int32_t length = 0;
        bool hasHeader = stream.read(kind, 1) && stream.readNumber(length);
        bool isValid = hasHeader && length >= lengthBytes && length <= maximumMessageBytes;
        return isValid && stream.read(body, static_cast<std::size_t>(length - lengthBytes));
    }

    void executeBatch(MessageStream& stream, SqlEngine& engine, SessionState& session, const std::string& batch)
    {
        std::vector<std::string> statements = splitBatch(batch);
        for (const std::string& statement : statements) {
            StatementResult result = engine.execute(session, statement);
            if (result.error) {
                addError(stream, *result.error);
                break;
            }
            if (!result.rows.columns.empty())
                addRows(stream, result.rows);
            stream.begin('C');
            stream.addText(result.tag);
            stream.end();
        }
        if (statements.empty()) {
            stream.begin('I');
            stream.end();
        }
        addReady(stream, session);
    }

} // namespace

PostgresServer::PostgresServer(Settings settings, SqlEngine& engine, FaultInjector& faults)
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
    MessageStream stream(descriptor);
    std::string parameters;
    if (!readStartup(stream, parameters))
        return;

    const std::string zone = findZone(findParameter(parameters, "application_name"));
    std::uint64_t generation = this->faults.getSilenceGeneration();
    std::this_thread::sleep_for(this->settings.connectDelay + 2 * this->faults.getDelay(zone));
    this->faults.waitWhileFrozen();
    if (++this->numConnections > this->settings.maximumConnections) {
        addError(stream, { "53300", "too many connections" });
        stream.flush();
    } else {
        SessionState session;
        session.isControlUser = findParameter(parameters, "user") == "lentiljunction_control";
        this->serveSession(stream, session, zone, generation);
        this->engine.abandon(session);
    }
    this->numConnections--;
}

void PostgresServer::serveSession(MessageStream& stream, SessionState& session, const std::string& zone, std::uint64_t generation)
{
    std::function<bool()> isSilenced = [&] { return generation != this->faults.getSilenceGeneration() || this->faults.isCut(zone); };
    addStartupResponse(stream, session);
    if (isSilenced())
        stream.discardOutput();
    bool isOpen = stream.flush();

    std::string kind;
    std::string body;
    while (isOpen) {
        bool hasInput = stream.waitReadable(session.isInTransaction ? idleInTransactionTimeoutMilliseconds : noTimeout);
        isOpen = hasInput && readMessage(stream, kind, body) && kind != "X";
        if (!isOpen)
            return;

        std::this_thread::sleep_for(this->faults.getDelay(zone));
        this->faults.waitWhileFrozen();
        if (isSilenced())
            continue;
        if (kind == "Q")
            executeBatch(stream, this->engine, session, body.c_str());
        std::this_thread::sleep_for(this->faults.getDelay(zone));
        this->faults.waitWhileFrozen();
        if (isSilenced() || this->faults.consumeDroppedResponse())
            stream.discardOutput();
        else
            isOpen = stream.flush();
    }
}

} // namespace lentiljunction::standins
