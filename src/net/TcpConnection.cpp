#include "TcpConnection.h"

#include "SocketOptions.h"
#include "lentiljunction/core/Buffers.h"
#include "lentiljunction/core/HandlerGuard.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <utility>

namespace lentiljunction {

namespace {

    /// In bytes. Most messages are far smaller; a longer one takes several reads.
    constexpr std::size_t readBufferSize = 2048;
    /// The connection is closed when more bytes wait for a peer that does not read.
    constexpr std::size_t maximumPendingBytes = 4U << 20;
    constexpr int listenBacklog = 512;

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
                return self->handleError(connectError);
            setNoDelayAndKeepAlive(self->socket);
            self->isOpen = true;
            if (!HandlerGuard::run("connection", [&] { self->listener->onSocketOpened(); }))
                return self->handleError(asio::error::connection_aborted);
            self->flush();
            self->read();
        });
    }

    void read()
    {
        if (this->listener == nullptr || this->isReadingStopped || std::exchange(this->isReading, true))
            return;
        std::shared_ptr<Implementation> self = this->shared_from_this();
        this->socket.async_read_some(asio::buffer(this->buffer), [self](const asio::error_code& error, std::size_t size) {
            self->isReading = false;
            if (self->listener == nullptr)
                return;
            if (error)
                return self->handleError(error);
            if (!HandlerGuard::run("connection", [&] { self->onBytes(size); }))
                return self->handleError(asio::error::connection_aborted);
            self->read();
        });
    }

    void onBytes(std::size_t size)
    {
        this->received.append(this->buffer.data(), size);
        this->listener->onSocketBytes(this->received);
        releaseIdleCapacity(this->received);
    }

    void flush()
    {
        if (!this->isOpen || this->isWriting)
            return;
        if (this->pendingBytes.empty()) {
            if (this->mustCloseAfterSending)
                this->closeNow();
            return;
        }
        this->isWriting = true;
        this->bytesInFlight.swap(this->pendingBytes);
        this->pendingBytes.clear();
        std::shared_ptr<Implementation> self = this->shared_from_this();
        asio::async_write(this->socket, asio::buffer(this->bytesInFlight), [self](const asio::error_code& error, std::size_t) {
            self->isWriting = false;
            if (error)
                return self->handleError(error);
            self->bytesInFlight.clear();
            releaseIdleCapacity(self->bytesInFlight);
            self->flush();
        });
    }

    void handleError(const asio::error_code& error)
    {
        Listener* notified = this->listener;
        this->closeNow();
        if (notified != nullptr)
            notified->onSocketClosed(error.message(), error == asio::error::connection_refused);
    }

    /// The caller of send() may not expect that its connection ends meanwhile.
    void failLater(const asio::error_code& error)
    {
        if (std::exchange(this->isFailing, true))
            return;
        std::shared_ptr<Implementation> self = this->shared_from_this();
        asio::post(this->socket.get_executor(), [self, error] { self->handleError(error); });
    }

    /// A peer that does not read would keep the unsent bytes for ever.
    void resetAfter(Duration limit)
    {
        if (!this->isOpen)
            return;
        std::shared_ptr<Implementation> self = this->shared_from_this();
        this->closeTimer = std::make_unique<asio::steady_timer>(this->socket.get_executor(), limit);
        this->closeTimer->async_wait([self](const asio::error_code& error) {
            if (error || !self->isOpen)
                return;
            self->isOpen = false;
            closeWithReset(self->socket);
            self->dropUnsent();
        });
    }

    void dropUnsent()
    {
        this->closeTimer.reset();
        this->receipt.reset();
        // A write in progress refers to its bytes until it ends.
        this->pendingBytes = std::string();
    }

    void closeNow()
    {
        this->dropUnsent();
        this->listener = nullptr;
        this->isOpen = false;
        asio::error_code ignored;
        this->socket.close(ignored);
    }

    asio::ip::tcp::socket socket;
    Listener* listener = nullptr;
    std::array<char, readBufferSize> buffer {};
    std::string received;
    std::string pendingBytes;
    std::string bytesInFlight;
    bool isOpen = false;
    bool isWriting = false;
    bool isReading = false;
    bool isReadingStopped = false;
    bool mustCloseAfterSending = false;
    std::unique_ptr<asio::steady_timer> closeTimer;
    std::shared_ptr<const void> receipt;
    /// Nothing is sent any more; the listener learns of it later.
    bool isFailing = false;
};

TcpConnection::TcpConnection(std::shared_ptr<Implementation> implementation)
    : implementation(std::move(implementation))
{
}

TcpConnection::~TcpConnection()
{
    // After closeAfterSending() the socket stays open until the pending bytes are sent.
    if (!this->implementation->mustCloseAfterSending)
        this->implementation->closeNow();
}

std::unique_ptr<TcpConnection> TcpConnection::connect(EventLoop& loop, const Endpoint& endpoint, Listener& listener)
{
    std::shared_ptr<Implementation> created = std::make_shared<Implementation>(asio::ip::tcp::socket(loop.getContext()));
    created->listener = &listener;
    created->connect(endpoint);
    return std::unique_ptr<TcpConnection>(new TcpConnection(created));
}

void TcpConnection::startReading(Listener& listener)
{
    this->implementation->listener = &listener;
    this->implementation->isOpen = true;
    this->implementation->read();
}

void TcpConnection::send(const std::string& bytes)
{
    if (this->implementation->isFailing)
        return;
    if (this->implementation->pendingBytes.size() + bytes.size() > maximumPendingBytes)
        return this->implementation->failLater(asio::error::no_buffer_space);
    this->implementation->pendingBytes += bytes;
    this->implementation->flush();
}

void TcpConnection::setReading(bool isWanted)
{
    this->implementation->isReadingStopped = !isWanted;
    if (isWanted && this->implementation->isOpen)
        this->implementation->read();
}

std::size_t TcpConnection::getBufferedBytes() const
{
    return this->implementation->received.capacity() + this->implementation->pendingBytes.capacity() + this->implementation->bytesInFlight.capacity();
}

void TcpConnection::closeAfterSending(Duration limit, std::shared_ptr<const void> receipt)
{
    this->implementation->receipt = std::move(receipt);
    this->implementation->mustCloseAfterSending = true;
    this->implementation->listener = nullptr;
    this->implementation->flush();
    this->implementation->resetAfter(limit);
}

void TcpConnection::close()
{
    this->implementation->listener = nullptr;
    this->implementation->isOpen = false;
    closeWithReset(this->implementation->socket);
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
            if (error || !HandlerGuard::run("accept", [&] { self->handleAccepted(std::move(socket)); }))
                return self->retryAccept();
            self->accept();
        });
    }

    /// Without the delay, a process that has no free file descriptor would retry in a busy loop.
    void retryAccept()
    {
        std::shared_ptr<Implementation> self = this->shared_from_this();
        this->retryTimer.expires_after(acceptRetryInterval);
        this->retryTimer.async_wait([self](const asio::error_code& error) {
            if (!error)
                self->accept();
        });
    }

    void handleAccepted(asio::ip::tcp::socket socket)
    {
        setNoDelayAndKeepAlive(socket);
        std::shared_ptr<TcpConnection::Implementation> created = std::make_shared<TcpConnection::Implementation>(std::move(socket));
        std::unique_ptr<TcpConnection> accepted(new TcpConnection(created));
        TcpConnection* raw = accepted.get();
        raw->startReading(this->onAccepted(std::move(accepted)));
    }

    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer retryTimer;
    AcceptHandler onAccepted;
};

TcpServer::TcpServer(EventLoop& loop)
    : implementation(std::make_shared<Implementation>(loop))
{
}

TcpServer::~TcpServer()
{
    this->close();
}

bool TcpServer::listen(const Endpoint& endpoint, AcceptHandler acceptor, Failure& failure)
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
        this->close();
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
