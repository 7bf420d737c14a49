#include "../../src/peer/PeerRpc.h"

#include <algorithm>
#include <future>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

/// An instance that other instances can ask, and what it hears of their configurations.
class Node : public PeerRpc::Listener {
public:
    Node(EventLoop& loop, const Clock& clock, BundleVersion version)
        : loop(loop)
        , version(version)
        , rpc(loop, clock, *this)
    {
    }

    void onPeerRequest(const nlohmann::json& request, const PeerRpc::Responder& respond) override
    {
        if (request["ask"] == "slow")
            this->loop.schedule(std::chrono::milliseconds(400), [respond] { respond({ { "fine", true } }); });
        else if (request["ask"] != "nothing")
            respond({ { "fine", true } });
    }

    std::optional<BundleVersion> getConfigurationVersion() const override { return this->version; }

    void onConfigurationVersion(BundleVersion heard, const std::optional<Endpoint>& peer) override
    {
        this->heardVersion = heard;
        this->heardFrom = peer;
    }

    EventLoop& loop;
    /// Opens a free port.
    Endpoint listen()
    {
        Failure failure;
        Endpoint endpoint { "127.0.0.1", 21000 };
        while (!this->rpc.listen(endpoint, failure))
            endpoint.port++;
        return endpoint;
    }

    BundleVersion version;
    std::optional<BundleVersion> heardVersion;
    std::optional<Endpoint> heardFrom;
    PeerRpc rpc;
};

} // namespace

TEST_GROUP(PeerRpc) {};

// An instance that lost the store, and that only requests and is requested, did not learn of a newer configuration.
TEST(PeerRpc, requestsAndResponsesNameTheVersionOfTheirSender)
{
    EventLoop loop;
    SystemClock clock;
    Node asking(loop, clock, BundleVersion(8));
    Node asked(loop, clock, BundleVersion(14));
    Endpoint endpoint = asked.listen();
    loop.start();
    std::promise<bool> done;
    loop.post([&] {
        asking.rpc.ask(endpoint, { { "ask", "anything" } }, std::chrono::seconds(10), [&](const std::optional<nlohmann::json>& response) {
            // The version of a response is processed after its body.
            loop.post([&done, isAnswered = response.has_value()] { done.set_value(isAnswered); });
        });
    });
    CHECK_TRUE(done.get_future().get());
    loop.stop();
    CHECK(asking.heardVersion == BundleVersion(14) && asking.heardFrom == endpoint);
    CHECK(asked.heardVersion == BundleVersion(8) && !asked.heardFrom);
}

// The transfer of a table over a slow link was cut off by the next request behind it, which times out sooner.
TEST(PeerRpc, requestThatTimesOutDoesNotEndTheTransferBeforeIt)
{
    EventLoop loop;
    SystemClock clock;
    Node asking(loop, clock, BundleVersion(8));
    Node asked(loop, clock, BundleVersion(8));
    Endpoint endpoint = asked.listen();
    loop.start();
    std::promise<bool> slow;
    std::promise<bool> unanswered;
    loop.post([&] {
        asking.rpc.ask(endpoint, { { "ask", "slow" } }, std::chrono::seconds(20), [&](const std::optional<nlohmann::json>& response) { slow.set_value(response.has_value()); });
        asking.rpc.ask(endpoint, { { "ask", "nothing" } }, std::chrono::milliseconds(100), [&](const std::optional<nlohmann::json>& response) { unanswered.set_value(response.has_value()); });
    });
    CHECK_FALSE(unanswered.get_future().get());
    CHECK_TRUE(slow.get_future().get());
    loop.stop();
}

// While a large table filled a link, requests behind it timed out. The links were given up although they delivered all the time,
// and the transfers on them began anew.
TEST(PeerRpc, requestThatTimesOutDoesNotEndALinkThatDelivers)
{
    ManualClock clock;
    PendingRequests requests(clock);
    requests.add(1, "busy", std::chrono::milliseconds(150));
    requests.add(2, "silent", std::chrono::milliseconds(150));
    clock.advance(std::chrono::milliseconds(100));
    requests.onReceived("busy");
    clock.advance(std::chrono::milliseconds(50));
    PendingRequests::Expiry expiry = requests.expire();
    CHECK(expiry.lostPeers == std::vector<std::string> { "silent" });
    CHECK(expiry.failedRequests == std::vector<std::uint64_t> { 1 });
    // What was received before a request was sent does not show that the link still delivers.
    requests.add(3, "busy", std::chrono::milliseconds(150));
    clock.advance(std::chrono::milliseconds(150));
    expiry = requests.expire();
    CHECK(std::find(expiry.lostPeers.begin(), expiry.lostPeers.end(), "busy") != expiry.lostPeers.end());
}
