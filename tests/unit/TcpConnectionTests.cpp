#include "../../src/net/TcpConnection.h"

#include <arpa/inet.h>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

// The macros of the test framework break standard headers that follow them.
#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

/// A listening port whose connections are never read.
class UnreadPort {
public:
    UnreadPort()
        : descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        // With little room in the system, the bytes wait at the sender.
        int receiveBuffer = 4096;
        (void)::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
        (void)::bind(this->descriptor, reinterpret_cast<const sockaddr*>(&address), size);
        (void)::listen(this->descriptor, 1);
        (void)::getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        this->port = ntohs(address.sin_port);
    }

    ~UnreadPort() { ::close(this->descriptor); }
    UnreadPort(const UnreadPort&) = delete;
    UnreadPort& operator=(const UnreadPort&) = delete;

    std::uint16_t port = 0;

private:
    int descriptor;
};

/// Sends more than a connection takes, and records when it learns of that.
class SenderWithoutEnd : public TcpConnection::Listener {
public:
    void onSocketOpened() override
    {
        const std::string piece(1U << 20, 'x');
        this->isSending = true;
        for (int count = 0; count < 32; count++)
            this->connection->send(piece);
        this->isSending = false;
    }

    void onSocketBytes(std::string&) override { }
    void onSocketClosed(const std::string&, bool) override
    {
        this->numClosed++;
        if (this->numClosed == 1)
            this->wasSending.set_value(this->isSending);
    }

    std::unique_ptr<TcpConnection> connection;
    std::promise<bool> wasSending;
    bool isSending = false;
    int numClosed = 0;
};

} // namespace

TEST_GROUP(TcpConnection) {};

// The listener was told of the end of its connection inside its own call of send(), while it still used its state.
TEST(TcpConnection, peerThatDoesNotReadIsReportedAfterSend)
{
    UnreadPort port;
    SenderWithoutEnd sender;
    EventLoop loop;
    sender.connection = TcpConnection::connect(loop, { "127.0.0.1", port.port }, sender);
    loop.start();
    bool wasSending = sender.wasSending.get_future().get();
    loop.stop();
    sender.connection.reset();
    CHECK_FALSE(wasSending);
    LONGS_EQUAL(1, sender.numClosed);
}

namespace {

/// Queues bytes and closes the connection.
class ClosingSender : public TcpConnection::Listener {
public:
    void onSocketOpened() override
    {
        for (int count = 0; count < 2; count++)
            this->connection->send(std::string(4U << 20, 'x'));
        std::shared_ptr<const void> receipt(static_cast<const void*>(nullptr), [this](const void*) { this->closed.set_value(); });
        this->connection->closeAfterSending(std::chrono::milliseconds(300), std::move(receipt));
    }

    void onSocketBytes(std::string&) override { }
    void onSocketClosed(const std::string&, bool) override { }

    std::unique_ptr<TcpConnection> connection;
    std::promise<void> closed;
};

} // namespace

// A session ends with a reply that its caller does not read. Guards against connections and bytes that are kept for ever, and that
// nobody counts.
TEST(TcpConnection, closeAfterSendingHasAnEnd)
{
    UnreadPort port;
    EventLoop loop;
    ClosingSender sender;
    std::future<void> closed = sender.closed.get_future();
    loop.post([&] { sender.connection = TcpConnection::connect(loop, { "127.0.0.1", port.port }, sender); });
    Failure failure;
    CHECK_TRUE(loop.tryStart("test", failure));
    CHECK(closed.wait_for(std::chrono::milliseconds(100)) == std::future_status::timeout);
    CHECK(closed.wait_for(std::chrono::seconds(20)) == std::future_status::ready);
    loop.stop();
}
