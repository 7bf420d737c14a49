#include "../../platform/LineProtocol.h"
#include "../../src/traffic/TcpUpstreamConnection.h"

#include <arpa/inet.h>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

// The macros of the test framework break standard headers that follow them.
#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

/// An upstream that accepts one connection and answers the first command with rows without end.
class EndlessUpstream {
public:
    EndlessUpstream()
        : listening(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        (void)::bind(this->listening, reinterpret_cast<const sockaddr*>(&address), size);
        (void)::listen(this->listening, 1);
        (void)::getsockname(this->listening, reinterpret_cast<sockaddr*>(&address), &size);
        this->port = ntohs(address.sin_port);
        this->thread = std::thread([this] { this->run(); });
    }

    ~EndlessUpstream()
    {
        this->finish();
        ::close(this->listening);
    }

    EndlessUpstream(const EndlessUpstream&) = delete;
    EndlessUpstream& operator=(const EndlessUpstream&) = delete;

    /// Waits until the connection was closed.
    ///
    /// @returns the bytes of the reply that were sent
    std::size_t finish()
    {
        if (this->thread.joinable())
            this->thread.join();
        return this->numBytesSent;
    }

    std::uint16_t port = 0;

private:
    void run()
    {
        int connection = ::accept(this->listening, nullptr, nullptr);
        std::string received(1024, ' ');
        (void)::recv(connection, received.data(), received.size(), 0);
        (void)::send(connection, "READY I -\r\n", 11, MSG_NOSIGNAL);
        (void)::recv(connection, received.data(), received.size(), 0);
        std::string row = "ROW " + std::string(1000, 'x') + "\r\n";
        constexpr std::size_t endOfTest = 64U << 20;
        while (this->numBytesSent<endOfTest&& ::send(connection, row.data(), row.size(), MSG_NOSIGNAL)> 0)
            this->numBytesSent += row.size();
        ::close(connection);
    }

    int listening;
    std::size_t numBytesSent = 0;
    std::thread thread;
};

/// An upstream that answers the first command of its connection with some bytes, and nothing else.
class ScriptedUpstream {
public:
    explicit ScriptedUpstream(std::string answer)
        : answer(std::move(answer))
        , server(this->loop)
        , connection(*this)
    {
        Failure failure;
        for (this->port = firstPort; !this->server.listen(
                 { "127.0.0.1", this->port }, [this](std::unique_ptr<TcpConnection> accepted) -> TcpConnection::Listener& { return this->connection.accept(std::move(accepted)); }, failure);
             this->port++) { }
        this->loop.start();
    }

    ~ScriptedUpstream() { this->loop.stop(); }
    ScriptedUpstream(const ScriptedUpstream&) = delete;
    ScriptedUpstream& operator=(const ScriptedUpstream&) = delete;

    std::uint16_t port = 0;

private:
    static constexpr std::uint16_t firstPort = 21000;

    class Connection : public TcpConnection::Listener {
    public:
        explicit Connection(ScriptedUpstream& upstream)
            : upstream(upstream)
        {
        }

        Connection& accept(std::unique_ptr<TcpConnection> accepted)
        {
            this->socket = std::move(accepted);
            return *this;
        }

        void onSocketOpened() override { }
        void onSocketBytes(std::string& bytes) override
        {
            bytes.clear();
            if (this->numMessages < 2)
                this->socket->send(this->numMessages == 0 ? "READY I -\r\n" : this->upstream.answer);
            this->numMessages++;
        }
        void onSocketClosed(const std::string&, bool) override { }

    private:
        ScriptedUpstream& upstream;
        std::unique_ptr<TcpConnection> socket;
        int numMessages = 0;
    };

    std::string answer;
    EventLoop loop;
    TcpServer server;
    Connection connection;
};

/// Sends a command, and another one when the first is answered, and records which got a reply.
class TwoCommands : public UpstreamConnection::Listener {
public:
    void onConnectionReady(UpstreamConnection& connection) override
    {
        connection.send(UpstreamCommand(), [this, &connection](const std::optional<SessionReply>& reply) {
            this->firstReplied.set_value(reply.has_value());
            if (reply)
                connection.send(UpstreamCommand(), [this](const std::optional<SessionReply>& second) { this->secondReplied.set_value(second.has_value()); });
        });
    }

    void onConnectionLost(UpstreamConnection&, UpstreamConnection::LossCause, const std::string&) override { }
    void onConnectionBytes(std::size_t) override { }

    std::promise<bool> firstReplied;
    std::promise<bool> secondReplied;
};

/// Sends a command as soon as the connection is open, and records whether it got a reply.
class OneCommand : public UpstreamConnection::Listener {
public:
    void onConnectionReady(UpstreamConnection& connection) override
    {
        connection.send(UpstreamCommand(), [this](const std::optional<SessionReply>& reply) { this->replied.set_value(reply.has_value()); });
    }

    void onConnectionLost(UpstreamConnection&, UpstreamConnection::LossCause, const std::string& reason) override { this->lost.set_value(reason); }
    void onConnectionBytes(std::size_t) override { }

    std::promise<bool> replied;
    std::promise<std::string> lost;
};

} // namespace

TEST_GROUP(TcpUpstreamConnection)
{
    SystemClock clock;
    LineProtocol protocol;
};

// A reply without a result, or with two, was taken for a success or for a proof that the statement did not run.
TEST(TcpUpstreamConnection, replyWithoutOneResultIsNoReply)
{
    for (const char* answer : { "READY I 1.5\r\n", "ROW a\r\nREADY I 1.5\r\n", "DONE\r\nREADY I 1.5\r\n", "DONE s\r\nDONE s\r\nREADY I 1.5\r\n", "DONE s\r\nROW a\r\nREADY I 1.5\r\n", "DONE s\r\nERR BUSY x\r\nREADY I 1.5\r\n", "ERR BUSY x\r\nDONE s\r\nREADY I 1.5\r\n" }) {
        EventLoop connectionLoop;
        ScriptedUpstream upstream(answer);
        OneCommand command;
        UpstreamEntry entry;
        entry.id = UpstreamId("u1");
        entry.endpoint = { "127.0.0.1", upstream.port };
        std::unique_ptr<TcpUpstreamConnection> connection = std::make_unique<TcpUpstreamConnection>(connectionLoop, clock, protocol, entry, "tester", std::chrono::seconds(20), command);
        connectionLoop.start();
        bool hasReply = command.replied.get_future().get();
        connectionLoop.stop();
        CHECK_FALSE_TEXT(hasReply, answer);
    }
}

// An upstream that sent its reply twice answered the next command with the rows of the one before.
TEST(TcpUpstreamConnection, replyThatArrivedBeforeItsCommandIsNoReply)
{
    for (const char* rest : { "ROW x\r\nDONE t\r\nREADY I 1.5\r\n", "ROW x\r\n", "ROW " }) {
        EventLoop connectionLoop;
        ScriptedUpstream upstream(std::string("ROW x\r\nDONE s\r\nREADY I 1.5\r\n") + rest);
        TwoCommands commands;
        UpstreamEntry entry;
        entry.id = UpstreamId("u1");
        entry.endpoint = { "127.0.0.1", upstream.port };
        std::unique_ptr<TcpUpstreamConnection> connection = std::make_unique<TcpUpstreamConnection>(connectionLoop, clock, protocol, entry, "tester", std::chrono::seconds(20), commands);
        connectionLoop.start();
        CHECK_TRUE(commands.firstReplied.get_future().get());
        std::future<bool> second = commands.secondReplied.get_future();
        bool isEnded = second.wait_for(std::chrono::seconds(10)) == std::future_status::ready;
        connectionLoop.stop();
        CHECK_TRUE_TEXT(isEnded && !second.get(), rest);
    }
}

// The rows of a reply without end were kept until the process exceeded its memory.
TEST(TcpUpstreamConnection, replyWithoutEndFailsAndClosesConnection)
{
    SystemClock clock;
    LineProtocol protocol;
    OneCommand command;
    std::string reason;
    bool hasReply = true;
    std::size_t numBytesSent = 0;
    {
        EventLoop loop;
        EndlessUpstream upstream;
        UpstreamEntry entry;
        entry.id = UpstreamId("u1");
        entry.endpoint = { "127.0.0.1", upstream.port };
        std::unique_ptr<TcpUpstreamConnection> connection;
        connection = std::make_unique<TcpUpstreamConnection>(loop, clock, protocol, entry, "tester", std::chrono::seconds(20), command);
        loop.start();
        hasReply = command.replied.get_future().get();
        reason = command.lost.get_future().get();
        loop.stop();
        connection.reset();
        numBytesSent = upstream.finish();
    }
    CHECK_FALSE(hasReply);
    STRCMP_CONTAINS("longer", reason.c_str());
    // The buffers of the system take some of it.
    CHECK(numBytesSent < (32U << 20));
}
