#include "../../src/net/HttpClient.h"
#include "../../src/net/TcpConnection.h"

#include <atomic>
#include <future>

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

private:
    void onSocketOpened() override { }
    void onSocketBytes(std::string& bytes) override
    {
        this->numBytes += bytes.size();
        bytes.clear();
    }
    void onSocketClosed(const std::string&, bool) override { }

    TcpServer server;
    std::vector<std::unique_ptr<TcpConnection>> connections;
};

} // namespace

TEST_GROUP(HttpClient) {};

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
