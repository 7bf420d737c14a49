#include "TcpConnection.h"

#include "SocketOptions.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

namespace lentiljunction {

namespace {

    /// Most messages are far smaller; a long one takes several reads.
    constexpr std::size_t readSize = 2048;
    /// A peer that does not read is cut off once this much waits for it.
    constexpr std::size_t sendLimit = 4U << 20;
    constexpr int listenBacklog = 512;
    /// The pause after a connection could not be accepted, usually for want of descriptors.
    constexpr std::chrono::milliseconds acceptRetryInterval { 20 };

} // namespace

class TcpConnection::Implementation : public std::enable_shared_from_this<TcpConnection::Implementation> {
public:
    explicit Implementation(asio::ip::tcp::socket socket)
        : socket(std::move(socket))
    {
    }

    void connect(const Endpoint& endpoint)
    {
        asio::error_code error;
        asio::ip::address address = asio::ip::make_address(endpoint.host, error);
        std::shared_ptr<Implementation> self = this->shared_from_this();
        this->socket.async_connect(asio::ip::tcp::endpoint(address, endpoint.port), [self](const asio::error_code& connectError) {
            if (self->listener == nullptr)
                return;
            if (connectError)
                return self->lose(connectError);
            setPromptAndMortal(self->socket);
            self->isOpen = true;
            self->listener->onSocketOpened();
            self->flush();
            self->read();
        });
    }

    void read()
    {
        if (this->listener == nullptr)
            return;
        std::shared_ptr<Implementation> self = this->shared_from_this();
        this->socket.async_read_some(asio::buffer(this->buffer), [self](const asio::error_code& error, std::size_t size) {
            if (self->listener == nullptr)
                return;
            if (error)
                return self->lose(error);
            self->received.append(self->buffer.data(), size);
            self->listener->onSocketBytes(self->received);
            self->read();
        });
    }

    void flush()
    {
        if (!this->isOpen || this->isWriting)
            return;
        if (this->waiting.empty()) {
            if (this->mustCloseWhenSent)
                this->closeNow();
            return;
        }
        this->isWriting = true;
        this->writing.swap(this->waiting);
        this->waiting.clear();
        std::shared_ptr<Implementation> self = this->shared_from_this();
        asio::async_write(this->socket, asio::buffer(this->writing), [self](const asio::error_code& error, std::size_t) {
            self->isWriting = false;
            if (error)
                return self->lose(error);
            self->flush();
        });
    }

    void lose(const asio::error_code& error)
    {
        Listener* told = this->listener;
        this->closeNow();
        if (told != nullptr)
            told->onSocketClosed(error.message(), error == asio::error::connection_refused);
    }

    void closeNow()
    {
        this->listener = nullptr;
        this->isOpen = false;
        asio::error_code ignored;
        this->socket.close(ignored);
    }

    asio::ip::tcp::socket socket;
    Listener* listener = nullptr;
    std::array<char, readSize> buffer {};
    std::string received;
    std::string waiting;
    std::string writing;
    bool isOpen = false;
    bool isWriting = false;
    bool mustCloseWhenSent = false;
};

TcpConnection::TcpConnection(std::shared_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{
}

TcpConnection::~TcpConnection()
{
    // Bytes that wait are still sent when closeAfterSending was asked for.
    if (!this->implementation->mustCloseWhenSent)
        this->implementation->closeNow();
}

std::unique_ptr<TcpConnection> TcpConnection::connect(EventLoop& loop, const Endpoint& endpoint, Listener& listener)
{
    std::shared_ptr<Implementation> made = std::make_shared<Implementation>(asio::ip::tcp::socket(loop.getContext()));
    made->listener = &listener;
    made->connect(endpoint);
    return std::unique_ptr<TcpConnection>(new TcpConnection(made));
}

void TcpConnection::startReading(Listener& listener)
{
    this->implementation->listener = &listener;
    this->implementation->isOpen = true;
    this->implementation->read();
}

void TcpConnection::send(const std::string& bytes)
{
    if (this->implementation->waiting.size() + bytes.size() > sendLimit)
        return this->implementation->lose(asio::error::no_buffer_space);
    this->implementation->waiting += bytes;
    this->implementation->flush();
}

void TcpConnection::closeAfterSending()
{
    this->implementation->mustCloseWhenSent = true;
    this->implementation->listener = nullptr;
    this->implementation->flush();
}

void TcpConnection::close()
{
    this->implementation->listener = nullptr;
    this->implementation->isOpen = false;
    closeAbruptly(this->implementation->socket);
}

class TcpServer::Implementation : public std::enable_shared_from_this<TcpServer::Implementation> {
public:
    explicit Implementation(EventLoop& loop)
        : acceptor(loop.getContext())
        , retryTimer(loop.getContext())
    {
    }

    void accept()
    {
        std::shared_ptr<Implementation> self = this->shared_from_this();
        this->acceptor.async_accept([self](const asio::error_code& error, asio::ip::tcp::socket socket) {
            if (error == asio::error::operation_aborted || !self->acceptor.is_open())
                return;
            if (error)
                return self->acceptLater();
            self->take(std::move(socket));
            self->accept();
        });
    }

    /// Without a pause, a process out of descriptors would spin here.
    void acceptLater()
    {
        std::shared_ptr<Implementation> self = this->shared_from_this();
        this->retryTimer.expires_after(acceptRetryInterval);
        this->retryTimer.async_wait([self](const asio::error_code& error) {
            if (!error)
                self->accept();
        });
    }

    void take(asio::ip::tcp::socket socket)
    {
        setPromptAndMortal(socket);
        std::shared_ptr<TcpConnection::Implementation> made = std::make_shared<TcpConnection::Implementation>(std::move(socket));
        std::unique_ptr<TcpConnection> accepted(new TcpConnection(made));
        TcpConnection* raw = accepted.get();
        raw->startReading(this->onAccepted(std::move(accepted)));
    }

    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer retryTimer;
    Acceptor onAccepted;
};

TcpServer::TcpServer(EventLoop& loop)
    : implementation(std::make_shared<Implementation>(loop))
{
}

TcpServer::~TcpServer()
{
    this->close();
}

bool TcpServer::listen(const Endpoint& endpoint, Acceptor acceptor, Failure& failure)
{
    asio::ip::tcp::acceptor& opened = this->implementation->acceptor;
    asio::error_code error;
    asio::ip::tcp::endpoint address(asio::ip::make_address(endpoint.host, error), endpoint.port);
    if (!error)
        opened.open(address.protocol(), error);
    if (!error)
        opened.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
    if (!error)
        opened.bind(address, error);
    if (!error)
        opened.listen(listenBacklog, error);
    if (error) {
        failure.set(Failure::Kind::Unavailable, endpoint.host + ":" + std::to_string(endpoint.port) + " cannot be opened: " + error.message());
        return false;
    }
    this->implementation->onAccepted = std::move(acceptor);
    this->implementation->accept();
    return true;
}

void TcpServer::close()
{
    asio::error_code ignored;
    this->implementation->acceptor.close(ignored);
}

} // namespace lentiljunction
