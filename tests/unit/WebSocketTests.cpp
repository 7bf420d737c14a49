#include "../../src/net/WebSocketClient.h"
#include "../../src/net/WebSocketServer.h"

#include <future>
#include <pthread.h>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

/// A server and a client on an event loop of their own.
class Pair : private WebSocketServer::Listener, private WebSocketClient::Listener {
public:
    Pair()
        : server(this->loop, *this)
        , client(this->loop, *this)
    {
    }

    ~Pair() override { this->loop.stop(); }

    void start(std::uint16_t firstPort)
    {
        Failure failure;
        std::uint16_t port = firstPort;
        while (!this->server.listen({ "127.0.0.1", port }, failure))
            port++;
        this->client.connect({ "127.0.0.1", port }, "/");
        this->loop.start();
    }

    /// @returns the first message that the server receives
    std::string receive() { return this->received.get_future().get(); }

private:
    void onSessionOpened(WebSocketServer::Handle, const std::string&) override { }
    void onSessionMessage(WebSocketServer::Handle, const std::string& payload, bool) override { this->received.set_value(payload); }
    void onSessionClosed(WebSocketServer::Handle) override { }
    void onHttpRequest(WebSocketServer::Handle, const HttpRequest&) override { }
    void onConnected(WebSocketClient::Handle handle) override { this->client.send(handle, "first", true); }
    void onMessage(WebSocketClient::Handle, const std::string&) override { }
    void onDisconnected(WebSocketClient::Handle) override { }

    EventLoop loop;
    WebSocketServer server;
    WebSocketClient client;
    std::promise<std::string> received;
};

/// No thread can be started while it exists: the address space cannot hold the stack.
class WithoutThreads {
public:
    WithoutThreads()
    {
        constexpr std::size_t tooLarge = std::size_t { 1 } << 60;
        ::pthread_getattr_default_np(&this->before);
        pthread_attr_t changed = this->before;
        ::pthread_attr_setstacksize(&changed, tooLarge);
        ::pthread_setattr_default_np(&changed);
    }

    ~WithoutThreads() { ::pthread_setattr_default_np(&this->before); }
    WithoutThreads(const WithoutThreads&) = delete;
    WithoutThreads& operator=(const WithoutThreads&) = delete;

private:
    pthread_attr_t before {};
};

/// Opens sessions to a server, and waits until each has succeeded or failed.
class Caller : private WebSocketServer::Listener, private WebSocketClient::Listener {
public:
    explicit Caller(std::uint16_t firstPort)
        : server(this->loop, *this)
        , client(this->loop, *this)
        , endpoint { "127.0.0.1", firstPort }
    {
        Failure failure;
        while (!this->server.listen(this->endpoint, failure))
            this->endpoint.port++;
        this->loop.start();
    }

    ~Caller() override { this->loop.stop(); }

    /// @returns whether a session was opened
    bool connect()
    {
        this->result = std::promise<bool>();
        this->loop.post([this] { this->client.connect(this->endpoint, "/"); });
        return this->result.get_future().get();
    }

private:
    void onSessionOpened(WebSocketServer::Handle, const std::string&) override { }
    void onSessionMessage(WebSocketServer::Handle, const std::string&, bool) override { }
    void onSessionClosed(WebSocketServer::Handle) override { }
    void onHttpRequest(WebSocketServer::Handle, const HttpRequest&) override { }
    void onConnected(WebSocketClient::Handle) override { this->result.set_value(true); }
    void onMessage(WebSocketClient::Handle, const std::string&) override { }
    void onDisconnected(WebSocketClient::Handle) override { this->result.set_value(false); }

    EventLoop loop;
    WebSocketServer server;
    WebSocketClient client;
    Endpoint endpoint;
    std::promise<bool> result;
};

} // namespace

TEST_GROUP(WebSocket) {};

// The control thread and the traffic thread each send their first message. Guards against state of the library that both of
// them set without a lock; the thread sanitizer reports it.
TEST(WebSocket, firstMessagesOfTwoLoopsShareNoUnguardedState)
{
    Pair control;
    Pair traffic;
    control.start(21900);
    traffic.start(21950);
    STRCMP_EQUAL("first", control.receive().c_str());
    STRCMP_EQUAL("first", traffic.receive().c_str());
}

// A session to another instance needs a thread of the library; when the system granted none, an exception ended the process.
TEST(WebSocket, sessionFailsWhenTheSystemGrantsNoThread)
{
    Caller caller(21970);
    {
        WithoutThreads none;
        CHECK_FALSE(caller.connect());
        CHECK_FALSE(caller.connect());
    }
    CHECK_TRUE(caller.connect());
}
