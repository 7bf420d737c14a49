#include "WebSocketClient.h"

#include "SocketOptions.h"
#include "WebSocketLibrary.h"
#include "lentiljunction/core/HandlerGuard.h"
#include "lentiljunction/core/LogEvents.h"

#include <asio/io_context.hpp>
#include <system_error>
#include <unordered_map>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>

namespace lentiljunction {

namespace {

    using Client = websocketpp::client<websocketpp::config::asio_client>;
    using ClientConnection = Client::connection_ptr;
    constexpr long openTimeoutMilliseconds = 400;

} // namespace

class WebSocketClient::Implementation {
public:
    Implementation(EventLoop& loop, Listener& listener, const WebSocketLimits& limits)
        : limits(limits)
        , loop(loop)
        , listener(listener)
    {
        prepareWebSocketLibrary();
        this->client.clear_access_channels(websocketpp::log::alevel::all);
        this->client.clear_error_channels(websocketpp::log::elevel::all);
        this->client.init_asio(&loop.getContext());
        this->client.set_open_handshake_timeout(openTimeoutMilliseconds);
        this->client.set_max_message_size(limits.message);
    }

    Handle connect(const Endpoint& endpoint, const std::string& resource)
    {
        Handle handle = this->nextHandle++;
        websocketpp::lib::error_code error;
        std::string uri = "ws://" + endpoint.host + ":" + std::to_string(endpoint.port) + resource;
        ClientConnection connection = this->client.get_connection(uri, error);
        if (error) {
            this->loop.post([this, handle] { this->listener.onDisconnected(handle); });
            return handle;
        }

        this->connections[handle] = connection;
        connection->set_open_handler([this, handle](const websocketpp::connection_hdl&) {
            if (!HandlerGuard::run("WebSocket", [&] { this->onOpen(handle); }))
                this->drop(handle);
        });
        connection->set_fail_handler([this, handle](const websocketpp::connection_hdl&) { this->handleDisconnect(handle); });
        connection->set_close_handler([this, handle](const websocketpp::connection_hdl&) { this->handleDisconnect(handle); });
        connection->set_message_handler([this, handle](const websocketpp::connection_hdl&, const Client::message_ptr& message) {
            if (!HandlerGuard::run("WebSocket", [&] { this->listener.onMessage(handle, message->get_payload()); }))
                this->drop(handle);
        });
        this->startConnecting(handle, connection);
        return handle;
    }

    ClientConnection find(Handle handle)
    {
        std::unordered_map<Handle, ClientConnection>::iterator found = this->connections.find(handle);
        return found == this->connections.end() ? nullptr : found->second;
    }

    void handleDisconnect(Handle handle)
    {
        if (this->connections.erase(handle) > 0)
            HandlerGuard::run("WebSocket", [&] { this->listener.onDisconnected(handle); });
    }

    /// Drops a session after the current task, because the caller may still use its state.
    void dropLater(Handle handle)
    {
        this->loop.post([this, handle] { this->drop(handle); });
    }

    void drop(Handle handle)
    {
        ClientConnection connection = this->find(handle);
        if (connection == nullptr)
            return;
        asio::error_code ignored;
        connection->get_socket().close(ignored);
        this->handleDisconnect(handle);
    }

    const WebSocketLimits limits;

private:
    /// The library resolves addresses in a thread of its own, for which the system may have no room.
    void startConnecting(Handle handle, const ClientConnection& connection)
    {
        try {
            this->client.connect(connection);
        } catch (const std::system_error& error) {
            logEvent(events::threadUnavailable, std::string("thread=resolver reason=\"") + error.what() + "\"");
            this->loop.post([this, handle] { this->handleDisconnect(handle); });
        }
    }

    void onOpen(Handle handle)
    {
        ClientConnection connection = this->find(handle);
        if (connection == nullptr)
            return;
        setNoDelayAndKeepAlive(connection->get_socket());
        this->listener.onConnected(handle);
    }

    EventLoop& loop;
    Listener& listener;
    Client client;
    std::unordered_map<Handle, ClientConnection> connections;
    Handle nextHandle = 1;
};

WebSocketClient::WebSocketClient(EventLoop& loop, Listener& listener, const WebSocketLimits& limits)
    : implementation(std::make_unique<Implementation>(loop, listener, limits))
{
}

WebSocketClient::~WebSocketClient() = default;

WebSocketClient::Handle WebSocketClient::connect(const Endpoint& endpoint, const std::string& resource)
{
    return this->implementation->connect(endpoint, resource);
}

void WebSocketClient::send(Handle handle, const std::string& payload, bool isBinary)
{
    ClientConnection connection = this->implementation->find(handle);
    if (connection == nullptr)
        return;
    if (connection->get_buffered_amount() + payload.size() > this->implementation->limits.pending)
        this->implementation->dropLater(handle);
    else
        connection->send(payload, isBinary ? websocketpp::frame::opcode::binary : websocketpp::frame::opcode::text);
}

void WebSocketClient::drop(Handle handle)
{
    this->implementation->drop(handle);
}

} // namespace lentiljunction
