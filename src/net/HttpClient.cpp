#include "HttpClient.h"

#include "HttpMessage.h"
#include "SocketOptions.h"

#include <array>
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <utility>

namespace lentiljunction {

namespace {

    constexpr std::size_t readSize = 16384;

} // namespace

/// One connection and the call on it.
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

    /// Notices when the server closes the connection while it is idle.
    void watchIdle();

    /// @returns whether the connection can be used again
    bool isAlive() const { return this->socket.is_open(); }

private:
    void connect();
    void write();
    void read();
    void finish(const asio::error_code& error);
    void fail(const std::string& reason);
    void complete();
    void retryOnFreshConnection();

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    Endpoint server;
    std::weak_ptr<Implementation> owner;
    Callback callback;
    std::string request;
    std::unique_ptr<HttpResponseParser> reader;
    std::array<char, readSize> buffer {};
    std::string pending;
    bool isSent = false;
    bool isReusedConnection = false;
    bool isRepeatable = false;
    std::uint64_t callNumber = 0;
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

    void keep(const std::shared_ptr<Exchange>& exchange)
    {
        this->idle.push_back(exchange);
        exchange->watchIdle();
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
    this->isRepeatable = call.method == "GET";
    this->isSent = false;
    this->callNumber++;
    this->reader = std::make_unique<HttpResponseParser>();
    this->request = encodeHttpRequest(call, this->server);

    std::shared_ptr<Exchange> self = this->shared_from_this();
    this->timer.expires_after(call.timeout);
    this->timer.async_wait([self, number = this->callNumber](const asio::error_code& error) {
        if (!error && self->callback && self->callNumber == number)
            self->fail("no answer in time");
    });
    if (!isReused)
        return this->connect();
    asio::error_code ignored;
    this->socket.cancel(ignored);
    this->write();
}

void HttpClient::Exchange::watchIdle()
{
    std::shared_ptr<Exchange> self = this->shared_from_this();
    this->socket.async_wait(asio::ip::tcp::socket::wait_read, [self](const asio::error_code& error) {
        // Nothing is asked for, so whatever can be read is the end of the connection.
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
    this->socket.async_connect(asio::ip::tcp::endpoint(address, this->server.port), [self](const asio::error_code& connectError) {
        if (!self->callback)
            return;
        if (connectError)
            return self->fail("cannot connect: " + connectError.message());
        setPromptAndMortal(self->socket);
        self->write();
    });
}

void HttpClient::Exchange::write()
{
    std::shared_ptr<Exchange> self = this->shared_from_this();
    this->isSent = true;
    asio::async_write(this->socket, asio::buffer(this->request), [self](const asio::error_code& error, std::size_t) {
        if (error && self->callback)
            self->finish(error);
    });
    this->read();
}

void HttpClient::Exchange::read()
{
    std::shared_ptr<Exchange> self = this->shared_from_this();
    this->socket.async_read_some(asio::buffer(this->buffer), [self](const asio::error_code& error, std::size_t size) {
        if (!self->callback)
            return;
        if (error)
            return self->finish(error);
        self->pending.append(self->buffer.data(), size);
        Failure failure;
        if (self->reader->take(self->pending, failure))
            return self->complete();
        if (failure.kind != Failure::Kind::None)
            return self->fail(failure.reason);
        self->read();
    });
}

void HttpClient::Exchange::finish(const asio::error_code& error)
{
    bool hasAnswerBegun = this->reader->hasBegun();
    // A server may close an idle connection just as a call is sent; a read loses nothing by a second try.
    if (this->isReusedConnection && this->isRepeatable && !hasAnswerBegun)
        return this->retryOnFreshConnection();
    this->fail("the connection broke: " + error.message());
}

void HttpClient::Exchange::retryOnFreshConnection()
{
    asio::error_code ignored;
    this->socket.close(ignored);
    this->isReusedConnection = false;
    this->isSent = false;
    this->connect();
}

void HttpClient::Exchange::fail(const std::string& reason)
{
    // A call that was given up must not be carried out later.
    closeAbruptly(this->socket);
    this->timer.cancel();
    Failure failure;
    failure.set(this->isSent ? Failure::Kind::InDoubt : Failure::Kind::Unavailable, reason);
    Callback done = std::exchange(this->callback, nullptr);
    done(std::nullopt, failure);
}

void HttpClient::Exchange::complete()
{
    this->timer.cancel();
    bool mayKeep = this->reader->mayKeepConnection() && this->pending.empty();
    HttpClientResponse answer = this->reader->release();
    Callback done = std::exchange(this->callback, nullptr);
    std::shared_ptr<Implementation> keeper = this->owner.lock();
    if (mayKeep && keeper != nullptr)
        keeper->keep(this->shared_from_this());
    done(std::move(answer), Failure());
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
