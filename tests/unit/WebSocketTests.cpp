#include "../../src/net/WebSocketClient.h"
#include "../../src/net/WebSocketServer.h"

#include <future>

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
