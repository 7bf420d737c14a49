#include "SynchronousFixture.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

namespace lentiljunction {

using lab::isServed;
using lab::LineCaller;

std::vector<std::string> writeFor(GatewayFixture& fixture, const std::string& prefix, std::chrono::milliseconds span)
{
    std::vector<std::string> acknowledged;
    std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + span;
    for (int number = 0; std::chrono::steady_clock::now() < end; number++) {
        std::string item = prefix + std::to_string(number);
        if (isServed(LineCaller(fixture.getPort(0), "bookings").execute("WRITE " + item + " v")))
            acknowledged.push_back(item);
    }
    return acknowledged;
}

Writers::Writers(GatewayFixture& fixture, std::size_t numInstances)
    : lastAt(std::chrono::steady_clock::now())
{
    for (std::size_t index = 0; index < numInstances; index++)
        this->threads.emplace_back([this, &fixture, index] { this->write(fixture.getPort(index), "w" + std::to_string(index) + "-"); });
}

std::vector<std::string> Writers::stop()
{
    this->isStopped = true;
    for (std::thread& thread : this->threads)
        thread.join();
    this->threads.clear();
    return this->acknowledged;
}

std::size_t Writers::countAcknowledged()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->acknowledged.size();
}

std::chrono::milliseconds Writers::getLongestGap()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(this->longestGap, std::chrono::steady_clock::now() - this->lastAt));
}

void Writers::write(std::uint16_t port, const std::string& prefix)
{
    for (int number = 0; !this->isStopped; number++) {
        std::string item = prefix + std::to_string(number);
        bool isAcknowledged = isServed(LineCaller(port, "bookings").execute("WRITE " + item + " v"));
        if (!isAcknowledged)
            continue;
        std::lock_guard<std::mutex> lock(this->mutex);
        this->acknowledged.push_back(item);
        std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
        this->longestGap = std::max(this->longestGap, now - this->lastAt);
        this->lastAt = now;
    }
}

void makeSynchronous(GatewayFixture& fixture)
{
    fixture.getSite().setSynchronous();
    fixture.configure(2, { "bookings", "later" });
    CHECK_TRUE(fixture.waitUntilServed("later"));
}

std::size_t countLost(GatewayFixture& fixture, const std::vector<std::string>& acknowledged)
{
    std::string primary = fixture.getGroup().findPrimary();
    return static_cast<std::size_t>(std::count_if(acknowledged.begin(), acknowledged.end(), [&](const std::string& item) { return !fixture.getGroup().hasItem(primary, item); }));
}

bool waitForLogHolders(GatewayFixture& fixture, std::size_t number, bool mustHaveStarts)
{
    return waitUntil([&] {
        nlohmann::json groups = fixture.getStore().read("lentiljunction-lead", "main")["groups"];
        nlohmann::json holders = groups.contains("ledger") ? groups["ledger"].value("log_holders", nlohmann::json::array()) : nlohmann::json::array();
        return holders.size() == number && (!mustHaveStarts || holders.back().contains("started_at_ms"));
    });
}

} // namespace lentiljunction
