#include "HttpClient.h"

#include "HttpMessage.h"
#include "SocketOptions.h"
#include "lentiljunction/core/HandlerGuard.h"

#include <array>
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <utility>

namespace lentiljunction {

namespace {

    constexpr std::size_t readBufferSize = 16384;

} // namespace

/// One connection and the request in progress on it.
class HttpClient::Exchange : public std::enable_shared_from_this<HttpClient::Exchange> {
public:
    Exchange(asio::io_context& context, Endpoint server, std::weak_ptr<Implementation> owner)
        : socket(context)
        , timer(context)
        , server(std::move(server))
        , owner(std::move(owner))
    {
    }

    void start(const HttpClientRequest& call, Callback newCallback, bool isReused);

    /// Closes this side when the server closes the idle connection, so that it is not reused.
    void closeWhenServerDisconnects();

    /// @returns whether the connection is open and can be reused
    bool isAlive() const { return this->socket.is_open(); }

private:
    void startTimer();
    void connect();
    void write();
    void read();
    void handleConnectionError(const asio::error_code& error);
    void onBytes(std::size_t size);
    void failUnlessDone(const std::string& reason);
    void fail(const std::string& reason);
    void complete();
    void retryOnNewConnection();

    /// @returns whether a handler of an attempt may still act; one that was given up leaves handlers behind
    bool isCurrent(std::uint64_t attempt) const { return this->callback && this->attemptNumber == attempt; }

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    Endpoint server;
    std::weak_ptr<Implementation> owner;
    Callback callback;
    std::string request;
    std::function<bool()> mayBeSent;
    std::function<void(std::size_t)> onProgress;
    Duration timeout { 0 };
    std::unique_ptr<HttpResponseParser> reader;
    std::array<char, readBufferSize> buffer {};
    std::string receivedBytes;
    bool isSent = false;
    bool isReusedConnection = false;
    bool isIdempotent = false;
    std::uint64_t callNumber = 0;
    /// Counts the attempts of all calls; a call that is repeated on a new connection has two.
    std::uint64_t attemptNumber = 0;
};

class HttpClient::Implementation : public std::enable_shared_from_this<HttpClient::Implementation> {
public:
    Implementation(EventLoop& loop, Endpoint server)
        : loop(loop)
        , server(std::move(server))
    {
    }

    void call(const HttpClientRequest& call, Callback callback)
    {
        std::shared_ptr<Exchange> exchange;
        while (exchange == nullptr && !this->idle.empty()) {
            if (this->idle.back()->isAlive())
                exchange = this->idle.back();
            this->idle.pop_back();
        }
        bool isReused = exchange != nullptr;
        if (!isReused)
            exchange = std::make_shared<Exchange>(this->loop.getContext(), this->server, this->weak_from_this());
        exchange->start(call, std::move(callback), isReused);
    }

    void addIdleExchange(const std::shared_ptr<Exchange>& exchange)
    {
        this->idle.push_back(exchange);
        exchange->closeWhenServerDisconnects();
    }

private:
    EventLoop& loop;
    Endpoint server;
    std::vector<std::shared_ptr<Exchange>> idle;
};

void HttpClient::Exchange::start(const HttpClientRequest& call, Callback newCallback, bool isReused)
{
    this->callback = std::move(newCallback);
    this->isReusedConnection = isReused;
    this->isIdempotent = call.method == "GET";
    this->isSent = false;
    this->callNumber++;
    this->attemptNumber++;
    this->reader = std::make_unique<HttpResponseParser>();
    this->request = encodeHttpRequest(call, this->server);
    this->mayBeSent = call.mayBeSent;
    this->onProgress = call.onProgress;
    this->timeout = call.timeout;
    this->startTimer();
    if (!isReused)
        return this->connect();
    asio::error_code ignored;
    this->socket.cancel(ignored);
    this->write();
}

void HttpClient::Exchange::startTimer()
{
    std::shared_ptr<Exchange> self = this->shared_from_this();
    this->timer.expires_after(this->timeout);
    this->timer.async_wait([self, number = this->callNumber](const asio::error_code& error) {
        if (!error && self->callback && self->callNumber == number)
            self->fail("no response within the timeout");
    });
}

void HttpClient::Exchange::closeWhenServerDisconnects()
{
    std::shared_ptr<Exchange> self = this->shared_from_this();
    this->socket.async_wait(asio::ip::tcp::socket::wait_read, [self](const asio::error_code& error) {
        // No request is in progress, so readable data can only mean the end of the connection.
        if (error || self->callback)
            return;
        asio::error_code ignored;
        self->socket.close(ignored);
    });
}

void HttpClient::Exchange::connect()
{
    asio::error_code error;
    asio::ip::address address = asio::ip::make_address(this->server.host, error);
    std::shared_ptr<Exchange> self = this->shared_from_this();
    this->socket.async_connect(asio::ip::tcp::endpoint(address, this->server.port), [self, attempt = this->attemptNumber](const asio::error_code& connectError) {
        if (!self->isCurrent(attempt))
            return;
        if (connectError)
            return self->fail("cannot connect: " + connectError.message());
        setNoDelayAndKeepAlive(self->socket);
        if (!HandlerGuard::run("HTTP request", [&] { self->write(); }))
            self->failUnlessDone("the request failed at this side");
    });
}

void HttpClient::Exchange::write()
{
    if (this->mayBeSent && !this->mayBeSent())
        return this->fail("the request may not be sent any more");
    if (this->mayBeSent)
        discardUnacknowledgedOnClose(this->socket);
    std::shared_ptr<Exchange> self = this->shared_from_this();
    this->isSent = true;
    asio::async_write(this->socket, asio::buffer(this->request), [self, attempt = this->attemptNumber](const asio::error_code& error, std::size_t) {
        if (error && self->isCurrent(attempt))
            self->handleConnectionError(error);
    });
    this->read();
}

void HttpClient::Exchange::read()
{
    std::shared_ptr<Exchange> self = this->shared_from_this();
    this->socket.async_read_some(asio::buffer(this->buffer), [self, attempt = this->attemptNumber](const asio::error_code& error, std::size_t size) {
        if (!self->isCurrent(attempt))
            return;
        if (error)
            return self->handleConnectionError(error);
        if (!HandlerGuard::run("HTTP response", [&] { self->onBytes(size); }))
            self->failUnlessDone("the response could not be handled");
    });
}

void HttpClient::Exchange::onBytes(std::size_t size)
{
    this->receivedBytes.append(this->buffer.data(), size);
    if (this->onProgress) {
        this->onProgress(size);
        this->startTimer();
    }
    Failure failure;
    if (this->reader->consume(this->receivedBytes, failure))
        return this->complete();
    if (failure.kind != Failure::Kind::None)
        return this->fail(failure.reason);
    this->read();
}

void HttpClient::Exchange::handleConnectionError(const asio::error_code& error)
{
    bool hasReceivedResponseData = this->reader->hasReceivedData();
    // The server may close an idle connection while a request is being sent on it. A GET has no
    // side effects, so it can be repeated safely.
    if (this->isReusedConnection && this->isIdempotent && !hasReceivedResponseData)
        return this->retryOnNewConnection();
    this->fail("the connection was lost: " + error.message());
}

void HttpClient::Exchange::retryOnNewConnection()
{
    asio::error_code ignored;
    this->socket.close(ignored);
    this->isReusedConnection = false;
    this->isSent = false;
    this->attemptNumber++;
    this->connect();
}

void HttpClient::Exchange::failUnlessDone(const std::string& reason)
{
    if (this->callback)
        this->fail(reason);
}

void HttpClient::Exchange::fail(const std::string& reason)
{
    // The reset discards unsent bytes: an abandoned request must not be executed later.
    closeWithReset(this->socket);
    this->timer.cancel();
    Failure failure;
    failure.set(this->isSent ? Failure::Kind::InDoubt : Failure::Kind::Unavailable, reason);
    Callback done = std::exchange(this->callback, nullptr);
    done(std::nullopt, failure);
}

void HttpClient::Exchange::complete()
{
    this->timer.cancel();
    bool canReuse = this->reader->canReuseConnection() && this->receivedBytes.empty();
    HttpClientResponse response = this->reader->releaseResponse();
    Callback done = std::exchange(this->callback, nullptr);
    std::shared_ptr<Implementation> client = this->owner.lock();
    if (canReuse && client != nullptr)
        client->addIdleExchange(this->shared_from_this());
    if (HandlerGuard::run("HTTP response", [&] { done(std::move(response), Failure()); }))
        return;
    // A caller that continues with its next call would otherwise never do so.
    Failure failure;
    failure.set(Failure::Kind::InDoubt, "the response could not be handled");
    HandlerGuard::run("HTTP response", [&] { done(std::nullopt, failure); });
}

HttpClient::HttpClient(EventLoop& loop, Endpoint server)
    : implementation(std::make_shared<Implementation>(loop, std::move(server)))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::call(HttpClientRequest call, Callback callback)
{
    this->implementation->call(call, std::move(callback));
}

} // namespace lentiljunction
