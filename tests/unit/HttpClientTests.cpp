#include "../../src/net/HttpClient.h"
#include "../../src/net/TcpConnection.h"

#include <atomic>
#include <future>
#include <memory>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

/// A server that counts the bytes that it receives and never responds.
class CountingServer : private TcpConnection::Listener {
public:
    explicit CountingServer(EventLoop& loop)
        : server(loop)
    {
    }

    /// @returns the address on which it listens
    Endpoint listen()
    {
        Failure failure;
        for (std::uint16_t port = 21700; port < 21800; port++) {
            if (this->server.listen(
                    { "127.0.0.1", port }, [this](std::unique_ptr<TcpConnection> accepted) -> TcpConnection::Listener& {
                        this->connections.push_back(std::move(accepted));
                        this->numConnections++;
                        return *this;
                    },
                    failure))
                return { "127.0.0.1", port };
        }
        FAIL("no port is free");
        return {};
    }

    std::atomic<std::size_t> numBytes { 0 };
    std::atomic<std::size_t> numConnections { 0 };
    /// Why the first connection ended.
    std::promise<std::string> closeReason;

private:
    void onSocketOpened() override { }
    void onSocketBytes(std::string& bytes) override
    {
        this->numBytes += bytes.size();
        bytes.clear();
    }
    void onSocketClosed(const std::string& reason, bool) override
    {
        if (!this->isClosed.exchange(true))
            this->closeReason.set_value(reason);
    }

    std::atomic<bool> isClosed { false };

    TcpServer server;
    std::vector<std::unique_ptr<TcpConnection>> connections;
};

/// A server that answers each request, keeps connections open, and can reset them.
class AnsweringServer : private TcpConnection::Listener {
public:
    explicit AnsweringServer(EventLoop& loop)
        : server(loop)
    {
    }

    /// @returns the address on which it listens
    Endpoint listen()
    {
        Failure failure;
        for (std::uint16_t port = 21800; port < 21900; port++) {
            if (this->server.listen(
                    { "127.0.0.1", port }, [this](std::unique_ptr<TcpConnection> accepted) -> TcpConnection::Listener& {
                        this->connection = std::move(accepted);
                        this->numConnections++;
                        return *this;
                    },
                    failure))
                return { "127.0.0.1", port };
        }
        FAIL("no port is free");
        return {};
    }

    /// Resets the newest connection.
    void reset() { this->connection->close(); }

    std::atomic<std::size_t> numConnections { 0 };

private:
    void onSocketOpened() override { }
    void onSocketBytes(std::string& bytes) override
    {
        bytes.clear();
        this->connection->send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    }
    void onSocketClosed(const std::string&, bool) override { }

    TcpServer server;
    std::unique_ptr<TcpConnection> connection;
};

} // namespace

TEST_GROUP(HttpClient) {};

// Sending and receiving fail together when the server resets an idle connection just before it is reused. Guards against the
// second failure, of the connection that was given up, being taken for one of the connection that replaced it.
TEST(HttpClient, readIsRepeatedWhenTheServerResetsAnIdleConnection)
{
    EventLoop loop;
    AnsweringServer server(loop);
    HttpClient client(loop, server.listen());
    loop.start();
    for (bool isReset : { false, true }) {
        std::promise<Failure> ended;
        loop.post([&] {
            if (isReset)
                server.reset();
            client.call({ "GET", "/", "", {}, std::chrono::seconds(5) }, [&ended](const std::optional<HttpClientResponse>&, const Failure& failure) { ended.set_value(failure); });
        });
        STRCMP_EQUAL("", ended.get_future().get().reason.c_str());
    }
    CHECK_EQUAL(2, server.numConnections);
    loop.stop();
}

// A coordinator was suspended while the connection for its promotion call opened, and another instance took over. Guards
// against a call with the former fencing token that is sent when it wakes.
TEST(HttpClient, requestIsNotSentOnceItMayNotBe)
{
    EventLoop loop;
    CountingServer server(loop);
    Endpoint endpoint = server.listen();
    HttpClient client(loop, endpoint);
    loop.start();
    for (bool mayBeSent : { false, true }) {
        std::promise<Failure> ended;
        loop.post([&] {
            HttpClientRequest request { "POST", "/promotion", "{}", {}, std::chrono::milliseconds(300), [mayBeSent] { return mayBeSent; } };
            client.call(request, [&ended](const std::optional<HttpClientResponse>&, const Failure& failure) { ended.set_value(failure); });
        });
        Failure failure = ended.get_future().get();
        // A request that was not sent has certainly no effect.
        CHECK(failure.kind == (mayBeSent ? Failure::Kind::InDoubt : Failure::Kind::Unavailable));
        CHECK_EQUAL(mayBeSent, server.numBytes > 0);
    }
    // The connection was opened each time.
    std::promise<void> accepted;
    loop.post([&accepted] { accepted.set_value(); });
    accepted.get_future().get();
    CHECK_EQUAL(2, server.numConnections);
    loop.stop();
}

// A coordinator was killed during a partition. Guards against the system sending its promotion call when the partition ends,
// seconds after another coordinator has promoted another upstream.
TEST(HttpClient, requestThatMayNotBeLateIsDiscardedWhenItsProcessEnds)
{
    EventLoop serverLoop;
    CountingServer server(serverLoop);
    Endpoint endpoint = server.listen();
    serverLoop.start();
    std::unique_ptr<EventLoop> clientLoop = std::make_unique<EventLoop>();
    std::unique_ptr<HttpClient> client = std::make_unique<HttpClient>(*clientLoop, endpoint);
    clientLoop->start();
    clientLoop->post([&client] { client->call({ "POST", "/promotion", "{}", {}, std::chrono::seconds(5), [] { return true; } }, [](const std::optional<HttpClientResponse>&, const Failure&) {}); });
    while (server.numBytes == 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    clientLoop->stop();
    client.reset();
    clientLoop.reset();
    STRCMP_CONTAINS("reset", server.closeReason.get_future().get().c_str());
    serverLoop.stop();
}
