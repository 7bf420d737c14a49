#include "WebSocketServer.h"

#include "SocketOptions.h"
#include "WebSocketLibrary.h"
#include "lentiljunction/core/HandlerGuard.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <unordered_map>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/server.hpp>

namespace lentiljunction {

namespace {

    using Server = websocketpp::server<websocketpp::config::asio>;
    using ServerConnection = Server::connection_ptr;

} // namespace

class WebSocketServer::Implementation {
public:
    Implementation(EventLoop& loop, Listener& listener, const WebSocketLimits& limits)
        : limits(limits)
        , loop(loop)
        , retryTimer(loop.getContext())
        , listener(listener)
    {
        prepareWebSocketLibrary();
        this->server.clear_access_channels(websocketpp::log::alevel::all);
        this->server.clear_error_channels(websocketpp::log::elevel::all);
        this->server.init_asio(&loop.getContext());
        this->server.set_reuse_addr(true);
        this->server.set_max_http_body_size(limits.message);
        this->server.set_max_message_size(limits.message);
        this->server.set_open_handler([this](websocketpp::connection_hdl connection) { this->guard(connection, [&] { this->onOpen(connection); }); });
        this->server.set_close_handler([this](websocketpp::connection_hdl connection) { this->guard(connection, [&] { this->onClose(connection); }); });
        this->server.set_http_handler([this](websocketpp::connection_hdl connection) { this->guard(connection, [&] { this->onHttp(connection); }); });
        this->server.set_message_handler([this](websocketpp::connection_hdl connection, Server::message_ptr message) {
            this->guard(connection, [&] { this->onMessage(connection, message->get_payload(), message->get_opcode() == websocketpp::frame::opcode::binary); });
        });
    }

    /// Accepts connections until the port is closed. websocketpp's own loop retries without a delay while no file
    /// descriptor is free.
    void accept(websocketpp::lib::error_code& error)
    {
        ServerConnection connection = this->server.get_connection();
        if (connection == nullptr) {
            error = websocketpp::error::make_error_code(websocketpp::error::con_creation_failed);
            return;
        }
        this->server.async_accept(
            connection, [this, connection](const websocketpp::lib::error_code& acceptError) { this->onAccepted(connection, acceptError); }, error);
        if (error)
            connection->terminate(error);
    }

    ServerConnection find(Handle handle)
    {
        std::unordered_map<Handle, ServerConnection>::iterator found = this->connections.find(handle);
        return found == this->connections.end() ? nullptr : found->second;
    }

    /// Closes a connection after the current task, because the caller may still use its state.
    void closeLater(const ServerConnection& connection)
    {
        this->loop.post([connection] { connection->terminate(websocketpp::error::make_error_code(websocketpp::error::send_queue_full)); });
    }

    const WebSocketLimits limits;
    Server server;
    std::unordered_map<Handle, ServerConnection> connections;

private:
    /// Runs a handler of a connection, and closes the connection if it throws.
    template <typename Handler>
    void guard(const websocketpp::connection_hdl& weak, Handler&& handler)
    {
        if (HandlerGuard::run("WebSocket", handler))
            return;
        websocketpp::lib::error_code error;
        ServerConnection connection = this->server.get_con_from_hdl(weak, error);
        asio::error_code ignored;
        if (connection != nullptr)
            connection->get_socket().close(ignored);
    }

    void onAccepted(const ServerConnection& connection, const websocketpp::lib::error_code& acceptError)
    {
        if (acceptError == websocketpp::error::make_error_code(websocketpp::error::operation_canceled)) {
            connection->terminate(acceptError);
            return;
        }
        if (acceptError) {
            connection->terminate(acceptError);
            return this->acceptLater();
        }
        HandlerGuard::run("accept", [&] { connection->start(); });
        this->acceptNext();
    }

    void acceptNext()
    {
        websocketpp::lib::error_code error;
        this->accept(error);
        if (error && this->server.is_listening())
            this->acceptLater();
    }

    void acceptLater()
    {
        this->retryTimer.expires_after(acceptRetryInterval);
        this->retryTimer.async_wait([this](const asio::error_code& error) {
            if (!error)
                this->acceptNext();
        });
    }

    void onOpen(const websocketpp::connection_hdl& weak)
    {
        ServerConnection connection = this->server.get_con_from_hdl(weak);
        setNoDelayAndKeepAlive(connection->get_socket());
        Handle handle = this->add(connection);
        this->listener.onSessionOpened(handle, connection->get_resource());
    }

    void onClose(const websocketpp::connection_hdl& weak)
    {
        ServerConnection connection = this->server.get_con_from_hdl(weak);
        std::unordered_map<void*, Handle>::iterator found = this->handles.find(connection.get());
        if (found == this->handles.end())
            return;

        Handle handle = found->second;
        this->handles.erase(found);
        this->connections.erase(handle);
        this->listener.onSessionClosed(handle);
    }

    void onMessage(const websocketpp::connection_hdl& weak, const std::string& payload, bool isBinary)
    {
        ServerConnection connection = this->server.get_con_from_hdl(weak);
        std::unordered_map<void*, Handle>::iterator found = this->handles.find(connection.get());
        if (found != this->handles.end())
            this->listener.onSessionMessage(found->second, payload, isBinary);
    }

    void onHttp(const websocketpp::connection_hdl& weak)
    {
        ServerConnection connection = this->server.get_con_from_hdl(weak);
        connection->defer_http_response();
        Handle handle = this->nextHandle++;
        this->connections[handle] = connection;
        bool isHandled = HandlerGuard::run("HTTP request", [&] { this->listener.onHttpRequest(handle, { connection->get_request().get_method(), connection->get_resource(), connection->get_request_body() }); });
        asio::error_code ignored;
        if (!isHandled && this->connections.erase(handle) > 0)
            connection->get_socket().close(ignored);
    }

    Handle add(const ServerConnection& connection)
    {
        Handle handle = this->nextHandle++;
        this->connections[handle] = connection;
        this->handles[connection.get()] = handle;
        return handle;
    }

    EventLoop& loop;
    asio::steady_timer retryTimer;
    Listener& listener;
    std::unordered_map<void*, Handle> handles;
    Handle nextHandle = 1;
};

WebSocketServer::WebSocketServer(EventLoop& loop, Listener& listener, const WebSocketLimits& limits)
    : implementation(std::make_unique<Implementation>(loop, listener, limits))
{
}

WebSocketServer::~WebSocketServer() = default;

bool WebSocketServer::listen(const Endpoint& endpoint, Failure& failure)
{
    websocketpp::lib::error_code error;
    asio::error_code addressError;
    asio::ip::address address = asio::ip::make_address(endpoint.host, addressError);
    if (!addressError)
        this->implementation->server.listen(asio::ip::tcp::endpoint(address, endpoint.port), error);
    if (!addressError && !error)
        this->implementation->accept(error);
    if (!addressError && !error)
        return true;

    websocketpp::lib::error_code ignored;
    this->implementation->server.stop_listening(ignored);
    failure.set(Failure::Kind::Unavailable, endpoint.host + ":" + std::to_string(endpoint.port) + " cannot be opened: " + error.message());
    return false;
}

void WebSocketServer::send(Handle handle, const std::string& payload, bool isBinary)
{
    ServerConnection connection = this->implementation->find(handle);
    if (connection == nullptr)
        return;
    if (connection->get_buffered_amount() + payload.size() > this->implementation->limits.pending)
        this->implementation->closeLater(connection);
    else
        connection->send(payload, isBinary ? websocketpp::frame::opcode::binary : websocketpp::frame::opcode::text);
}

std::size_t WebSocketServer::getBufferedBytes(Handle handle) const
{
    ServerConnection connection = this->implementation->find(handle);
    return connection == nullptr ? 0 : connection->get_buffered_amount();
}

std::size_t WebSocketServer::countBufferedBytes() const
{
    std::size_t sum = 0;
    for (const std::pair<const Handle, ServerConnection>& connection : this->implementation->connections)
        sum += connection.second->get_buffered_amount();
    return sum;
}

void WebSocketServer::respond(Handle handle, const HttpResponse& response)
{
    ServerConnection connection = this->implementation->find(handle);
    if (connection == nullptr)
        return;

    this->implementation->connections.erase(handle);
    try {
        connection->set_status(static_cast<websocketpp::http::status_code::value>(response.status));
        connection->append_header("Content-Type", response.contentType);
        for (const std::pair<const std::string, std::string>& header : response.headers)
            connection->append_header(header.first, header.second);
        // websocketpp closes the connection after each response.
        connection->append_header("Connection", "close");
        connection->set_body(response.body);
    } catch (const websocketpp::exception&) {
        // The caller closed the connection before the response was sent.
        return;
    }
    websocketpp::lib::error_code ignored;
    connection->send_http_response(ignored);
}

void WebSocketServer::close(Handle handle)
{
    ServerConnection connection = this->implementation->find(handle);
    websocketpp::lib::error_code ignored;
    if (connection != nullptr)
        connection->close(websocketpp::close::status::going_away, "", ignored);
}

} // namespace lentiljunction
