#include "GatewayFixture.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <mutex>
#include <thread>

using namespace lentiljunction;
using lab::isServed;
using lab::LineCaller;
using standin::PromotionFault;

namespace {

constexpr std::size_t numInstances = 3;
/// A call is carried out at most this long after it was sent, as late writes of the platform's store.
constexpr std::chrono::seconds longestCall { 5 };

/// Writes through all instances until it is stopped.
class Writers {
public:
    explicit Writers(GatewayFixture& fixture)
    {
        for (std::size_t index = 0; index < numInstances; index++)
            this->threads.emplace_back([this, port = fixture.getPort(index), index] { this->write(port, "w" + std::to_string(index) + "-"); });
    }

    ~Writers() { this->stop(); }

    /// @returns the items of the writes that were acknowledged
    std::vector<std::string> stop()
    {
        this->isStopped = true;
        for (std::thread& thread : this->threads)
            thread.join();
        this->threads.clear();
        return this->acknowledged;
    }

    std::size_t countAcknowledged()
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        return this->acknowledged.size();
    }

private:
    void write(std::uint16_t port, const std::string& prefix)
    {
        for (int number = 0; !this->isStopped; number++) {
            std::string item = prefix + std::to_string(number);
            bool isAcknowledged = isServed(LineCaller(port, "bookings").execute("WRITE " + item + " v"));
            {
                std::lock_guard<std::mutex> lock(this->mutex);
                if (isAcknowledged)
                    this->acknowledged.push_back(item);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
    }

    std::atomic<bool> isStopped { false };
    std::mutex mutex;
    std::vector<std::string> acknowledged;
    std::vector<std::thread> threads;
};

} // namespace

TEST_GROUP(GatewayPromotion)
{
    GatewayFixture fixture { static_cast<int>(numInstances) };

    standin::PromotionEndpoint& getEndpoint() { return this->fixture.getSite().getPromotionEndpoint(); }

    /// Makes the primary leave and waits for the first promotion call since then.
    ///
    /// @returns the upstream that was called, or an empty string
    std::string waitForCall()
    {
        std::string primary = this->fixture.getGroup().findPrimary();
        std::size_t numBefore = this->getEndpoint().listCalled().size();
        this->fixture.report(primary, true, true);
        bool isCalled = waitUntil([&] { return this->getEndpoint().listCalled().size() > numBefore; });
        this->calledAt = std::chrono::steady_clock::now();
        return isCalled ? this->getEndpoint().listCalled()[numBefore] : "";
    }

    /// Waits until another upstream than those given acts as the primary and writes are acknowledged, but not
    /// longer than a call may take.
    void waitForAnotherPrimary(Writers & writers, const std::set<std::string>& former)
    {
        std::size_t numBefore = 0;
        while (std::chrono::steady_clock::now() < this->calledAt + longestCall) {
            std::string primary = this->fixture.getGroup().findPrimary();
            bool isAnother = !primary.empty() && former.count(primary) == 0;
            numBefore = isAnother && numBefore == 0 ? writers.countAcknowledged() + 1 : numBefore;
            if (isAnother && writers.countAcknowledged() > numBefore + 20)
                return;
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }

    /// Carries out the calls that are held, waits until their effect and later writes, and checks all writes.
    void checkAfterRelease(Writers & writers, const std::string& called)
    {
        this->getEndpoint().setFault({});
        this->getEndpoint().release();
        CHECK_TRUE(waitUntil([&] { return this->fixture.getGroup().findPrimary() == called; }));
        // Longer than the former primary goes on.
        std::this_thread::sleep_for(std::chrono::seconds(2));
        std::size_t numBefore = writers.countAcknowledged();
        // Writes that are served only much later are the matter of the tests that require it.
        std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + (this->mustServeAgain ? std::chrono::seconds(30) : std::chrono::seconds(5));
        while (writers.countAcknowledged() <= numBefore + 20 && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        bool isServedAgain = writers.countAcknowledged() > numBefore + 20;
        std::size_t numOfFormerPrimary = 0;
        for (const std::string& item : writers.stop()) {
            CHECK_EQUAL(1, this->fixture.getGroup().countCommits(item));
            numOfFormerPrimary += this->fixture.getGroup().isCommittedByFormerPrimary(item) ? 1 : 0;
        }
        LONGS_EQUAL_TEXT(0, numOfFormerPrimary, "writes were acknowledged at a replaced primary");
        CHECK_TRUE_TEXT(isServedAgain || !this->mustServeAgain, "no writes are served after the late promotion");
    }

    std::chrono::steady_clock::time_point calledAt;
    bool mustServeAgain = false;

    void testCallWithoutResponse()
    {
        CHECK_TRUE(this->fixture.waitUntilServed("bookings"));
        Writers writers(this->fixture);
        PromotionFault heldCall;
        heldCall.isHeld = true;
        this->getEndpoint().setFault(heldCall);
        std::string called = this->waitForCall();
        CHECK(!called.empty());
        this->fixture.getGroup().crash(called);
        this->getEndpoint().setFault({});
        this->waitForAnotherPrimary(writers, { "u1", called });
        Failure failure;
        CHECK_TRUE(this->fixture.getGroup().restart(called, failure));
        this->checkAfterRelease(writers, called);
    }

    void testRepeatedCall()
    {
        CHECK_TRUE(this->fixture.waitUntilServed("bookings"));
        Writers writers(this->fixture);
        PromotionFault repeatedCall;
        repeatedCall.isHeld = true;
        repeatedCall.repeatedAfter = Duration(0);
        this->getEndpoint().setFault(repeatedCall);
        std::string called = this->waitForCall();
        CHECK(!called.empty());
        std::chrono::steady_clock::time_point firstCall = this->calledAt;
        CHECK_TRUE(waitUntil([&] { return this->fixture.getGroup().findPrimary() == called; }));
        this->getEndpoint().setFault({});
        this->fixture.report("u1", false);
        std::size_t numBefore = writers.countAcknowledged();
        CHECK_TRUE(waitUntil([&] { return writers.countAcknowledged() > numBefore + 20; }));
        this->fixture.report(called, true, true);
        this->calledAt = firstCall;
        this->waitForAnotherPrimary(writers, { called });
        this->checkAfterRelease(writers, called);
    }

    void testCallOfKilledCoordinator()
    {
        CHECK_TRUE(this->fixture.waitUntilServed("bookings"));
        std::optional<std::size_t> coordinator;
        CHECK_TRUE(waitUntil([&] {
            coordinator = this->fixture.findCoordinator();
            return coordinator.has_value();
        }));
        Writers writers(this->fixture);
        PromotionFault heldCall;
        heldCall.isHeld = true;
        this->getEndpoint().setFault(heldCall);
        std::string called = this->waitForCall();
        CHECK(!called.empty());
        this->fixture.kill(*coordinator);
        this->fixture.getGroup().crash(called);
        this->getEndpoint().setFault({});
        this->fixture.restart(*coordinator);
        this->waitForAnotherPrimary(writers, { "u1", called });
        Failure failure;
        CHECK_TRUE(this->fixture.getGroup().restart(called, failure));
        this->checkAfterRelease(writers, called);
    }
};

// A promotion call gets no response, the upstream crashes, further calls for it are refused, and another upstream is
// promoted. Guards against a refusal that counts as proof that the first call had no effect: it acts seconds later, while
// all instances acknowledge writes at the other upstream under their leases.
TEST(GatewayPromotion, callWithoutResponseActsAfterAnotherUpstreamWasPromoted)
{
    this->testCallWithoutResponse();
}

// Each call of a failover is answered, and carried out once more after the next failover. Guards against a list of calls that
// ends with the failover that sent them.
TEST(GatewayPromotion, repeatedCallActsAfterNextFailover)
{
    this->testRepeatedCall();
}

// The coordinator is killed after its promotion call and before the effect, and starts again; the upstream crashes
// meanwhile. Guards against a successor that begins anew and does not know which upstream was called.
TEST(GatewayPromotion, callOfKilledCoordinatorActsAfterAnotherUpstreamWasPromoted)
{
    this->testCallOfKilledCoordinator();
}

// As above. Guards against a group that stays without a usable primary, because nobody notices that another upstream than the
// recorded one leads a newer term.
TEST(GatewayPromotion, writesAreServedAfterCallWithoutResponseActed)
{
    this->mustServeAgain = true;
    this->testCallWithoutResponse();
}

TEST(GatewayPromotion, writesAreServedAfterRepeatedCallActed)
{
    this->mustServeAgain = true;
    this->testRepeatedCall();
}

TEST(GatewayPromotion, writesAreServedAfterCallOfKilledCoordinatorActed)
{
    this->mustServeAgain = true;
    this->testCallOfKilledCoordinator();
}
