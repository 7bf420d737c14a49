#include "net/PortOpener.h"

#include "../support/QueuedFleetStore.h"
#include "gateway/MemberRegistration.h"
#include "lentiljunction/core/EventLoop.h"
#include "net/TcpConnection.h"
#include "net/WebSocketServer.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

constexpr std::chrono::seconds longTime { 3600 };

/// A port that a test holds and frees.
class HeldPort {
public:
    HeldPort()
        : opener(
            scheduler, clock, "sessions", [this](Failure& failure) { return this->open(failure); }, [this] { this->numOpened++; })
    {
    }

    bool open(Failure& failure)
    {
        this->numAttempts++;
        if (this->isHeld)
            failure.set(Failure::Kind::Unavailable, "held");
        return !this->isHeld;
    }

    ManualClock clock;
    ManualScheduler scheduler { clock };
    bool isHeld = true;
    int numAttempts = 0;
    int numOpened = 0;
    PortOpener opener;
};

/// Accepts registrations when a test says so.
class RegistrationStore : public QueuedFleetStore {
public:
    void readMember(const InstanceId&, Callback<RegisteredMember> onRead) override
    {
        Failure missing;
        missing.set(Failure::Kind::NotFound, "no entry");
        onRead(std::nullopt, missing);
    }

    void registerMember(const FleetMember& member, Callback<StoreEra> callback) override
    {
        this->members.push_back(member);
        this->callback = std::move(callback);
    }

    std::vector<FleetMember> members;
    Callback<StoreEra> callback;
};

} // namespace

TEST_GROUP(PortOpener) {};

// The process ended at its start when another process still held a listening port.
TEST(PortOpener, triesUntilThePortIsFree)
{
    HeldPort port;
    port.opener.start();
    port.scheduler.advance(longTime);
    CHECK(!port.opener.isOpen());
    CHECK(port.numAttempts > 3000 && port.numAttempts < 4000);
    port.isHeld = false;
    port.scheduler.advance(std::chrono::seconds(1));
    CHECK(port.opener.isOpen());
    int numAttempts = port.numAttempts;
    port.scheduler.advance(longTime);
    LONGS_EQUAL(numAttempts, port.numAttempts);
    LONGS_EQUAL(1, port.numOpened);
}

// A port that becomes free while the instance drains must not be opened any more.
TEST(PortOpener, makesNoAttemptOnceStopped)
{
    HeldPort port;
    port.opener.start();
    port.opener.stop();
    port.isHeld = false;
    port.scheduler.advance(longTime);
    CHECK(!port.opener.isOpen());
    LONGS_EQUAL(1, port.numAttempts);
}

// A server whose first attempt failed refused every later one, because its socket was still open.
TEST(PortOpener, serversOpenAtALaterAttempt)
{
    EventLoop loop;
    class Ignoring : public WebSocketServer::Listener {
        void onSessionOpened(WebSocketServer::Handle, const std::string&) override { }
        void onSessionMessage(WebSocketServer::Handle, const std::string&, bool) override { }
        void onSessionClosed(WebSocketServer::Handle) override { }
        void onHttpRequest(WebSocketServer::Handle, const HttpRequest&) override { }
    } listener;
    Failure failure;
    TcpServer::AcceptHandler refuse = [](std::unique_ptr<TcpConnection>) -> TcpConnection::Listener& { std::abort(); };
    std::unique_ptr<TcpServer> holder = std::make_unique<TcpServer>(loop);
    Endpoint endpoint { "127.0.0.1", 20000 };
    while (!holder->listen(endpoint, refuse, failure))
        endpoint.port++;
    TcpServer tcp(loop);
    WebSocketServer web(loop, listener);
    for (int attempt = 0; attempt < 3; attempt++) {
        CHECK(!tcp.listen(endpoint, refuse, failure));
        CHECK(!web.listen(endpoint, failure));
    }
    holder.reset();
    CHECK(tcp.listen(endpoint, refuse, failure));
    tcp.close();
    CHECK(web.listen(endpoint, failure));
}

// Other instances connected to an address at which another process listened.
TEST(PortOpener, registrationNamesAnAddressOnceItsPortIsOpen)
{
    ManualClock clock;
    ManualScheduler scheduler(clock);
    RegistrationStore store;
    MemberRegistration registration(scheduler, store, { InstanceId("a"), ZoneId("z"), Endpoint { "127.0.0.1", 1 } }, [](StoreEra) {});
    registration.setQuota({ "127.0.0.1", 2 });
    CHECK(store.members.empty());
    registration.start();
    CHECK(store.members.back().quota && !store.members.back().lending);
    registration.setLending({ "127.0.0.1", 3 });
    LONGS_EQUAL(1, store.members.size());
    store.callback(StoreEra(1), Failure());
    LONGS_EQUAL(2, store.members.size());
    CHECK(store.members.back().quota && store.members.back().lending);
    store.callback(StoreEra(1), Failure());
    LONGS_EQUAL(2, store.members.size());
    registration.setLending({ "127.0.0.1", 4 });
    LONGS_EQUAL(3, store.members.size());
}
