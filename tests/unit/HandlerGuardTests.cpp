#include "../../src/net/TcpConnection.h"
#include "../support/PoolBench.h"
#include "lentiljunction/core/EventLoop.h"
#include "lentiljunction/core/HandlerGuard.h"

#include <atomic>
#include <future>
#include <stdexcept>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

/// Throws when bytes arrive and tells when the connection is closed.
class ThrowingListener : public TcpConnection::Listener {
public:
    explicit ThrowingListener(bool mustThrow)
        : mustThrow(mustThrow)
    {
    }

    void onSocketOpened() override { this->connection->send("bytes"); }
    void onSocketBytes(std::string& bytes) override
    {
        bytes.clear();
        if (this->mustThrow)
            throw std::length_error("a handler");
    }
    void onSocketClosed(const std::string&, bool) override { this->closed.set_value(); }

    bool mustThrow;
    std::unique_ptr<TcpConnection> connection;
    std::promise<void> closed;
};

bool isSoon(std::promise<void>& promise)
{
    return promise.get_future().wait_for(std::chrono::seconds(20)) == std::future_status::ready;
}

} // namespace

TEST_GROUP(HandlerGuard) {};

// An exception out of one task ended the process.
TEST(HandlerGuard, loopRunsNextTaskAfterOneThatThrew)
{
    EventLoop loop;
    loop.start();
    loop.post([] { throw std::runtime_error("a task"); });
    loop.schedule(Duration(0), [] { throw 1; });
    std::promise<void> done;
    loop.schedule(std::chrono::milliseconds(5), [&done] { done.set_value(); });
    CHECK_TRUE(isSoon(done));
}

// A periodic task that threw once would never have run again.
TEST(HandlerGuard, periodicTaskContinuesAfterItThrew)
{
    EventLoop loop;
    loop.start();
    std::promise<void> done;
    int count = 0;
    loop.repeat(std::chrono::milliseconds(1), [&] {
        if (++count == 3)
            done.set_value();
        throw std::bad_alloc();
    });
    CHECK_TRUE(isSoon(done));
    loop.stop();
}

// An exception while the bytes of one connection were handled ended the process, instead of that connection.
TEST(HandlerGuard, connectionWhoseHandlerThrewIsClosedAtBothEnds)
{
    EventLoop loop;
    TcpServer server(loop);
    ThrowingListener accepting(true);
    ThrowingListener connecting(false);
    Failure failure;
    Endpoint endpoint { "127.0.0.1", 21900 };
    while (!server.listen(
        endpoint, [&accepting](std::unique_ptr<TcpConnection> accepted) -> TcpConnection::Listener& {
            accepting.connection = std::move(accepted);
            return accepting;
        },
        failure))
        CHECK_TRUE(++endpoint.port < 22000);
    loop.start();
    loop.post([&] { connecting.connection = TcpConnection::connect(loop, endpoint, connecting); });
    CHECK_TRUE(isSoon(accepting.closed));
    CHECK_TRUE(isSoon(connecting.closed));
    loop.stop();
}

// After a granted request's handler had thrown, the pool granted nothing for ever, and the connection was counted as running.
TEST(HandlerGuard, poolGrantsToTheNextRequestAfterAHandlerThrew)
{
    tests::PoolBench bench(1);
    UpstreamPool& pool = bench.getPool();
    pool.acquire(bench.makeRequest("w0", std::chrono::seconds(1)), [](StatementConnection*, ConnectionSource::Denial) { throw std::runtime_error("a grant"); });
    int numServed = 0;
    bench.run("w0", std::chrono::seconds(5), Duration(0), [&numServed](std::optional<Duration> took) { numServed += took ? 1 : 0; });
    for (int count = 0; count < 20; count++)
        HandlerGuard::run("test", [&bench] { bench.advance(std::chrono::milliseconds(100)); });
    LONGS_EQUAL(1, numServed);
    LONGS_EQUAL(0, pool.getNumRunning());
}
