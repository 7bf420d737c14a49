#include "GatewayFixture.h"

#include <CppUTest/TestHarness.h>
#include <thread>

using namespace lentiljunction;
using lab::contains;

namespace {

constexpr std::size_t numZones = 3;
/// What an instance may spend on control in a second.
constexpr double controlBytesPerSecond = 2048;

/// @returns the value of a fact on the metrics page of an instance, or zero
double readFact(const GatewayFixture& fixture, std::size_t instance, const std::string& fact)
{
    std::string page = fixture.readMetrics(instance);
    std::string prefix = "{fact=\"" + fact + "\"} ";
    std::size_t begin = page.find(prefix);
    return begin == std::string::npos ? 0 : std::stod(page.substr(begin + prefix.size()));
}

double sumPeerBytes(const GatewayFixture& fixture, std::size_t numInstances)
{
    double sum = 0;
    for (std::size_t instance = 0; instance < numInstances; instance++)
        sum += readFact(fixture, instance, "peer_bytes_sent");
    return sum;
}

bool waitUntilAllHave(const GatewayFixture& fixture, std::size_t numInstances, std::uint64_t version)
{
    return waitUntil([&] {
        for (std::size_t instance = 0; instance < numInstances; instance++) {
            if (readFact(fixture, instance, "routes_version") < static_cast<double>(version))
                return false;
        }
        return true;
    });
}

bool waitUntilAllKnowEachOther(const GatewayFixture& fixture, std::size_t numInstances)
{
    return waitUntil([&] {
        for (std::size_t instance = 0; instance < numInstances; instance++) {
            if (!contains(fixture.readMetrics(instance), "fact=\"instances\"} " + std::to_string(numInstances)))
                return false;
        }
        return true;
    });
}

std::vector<std::string> makeDatabases(std::size_t number)
{
    std::vector<std::string> databases { "bookings" };
    for (std::size_t index = 1; index < number; index++)
        databases.push_back("database-" + std::to_string(index));
    return databases;
}

} // namespace

TEST_GROUP(GatewayLargeConfiguration) {};

// Each change of a configuration with 1,500 routes was sent whole to every instance.
TEST(GatewayLargeConfiguration, changeOfOneRouteIsSentByItsOwnSize)
{
    constexpr std::size_t numInstances = 7;
    constexpr std::size_t numDatabases = 1500;
    GatewayFixture fixture(numInstances);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    CHECK_TRUE(waitUntilAllKnowEachOther(fixture, numInstances));
    fixture.configure(2, makeDatabases(numDatabases));
    CHECK_TRUE(waitUntilAllHave(fixture, numInstances, 2));
    // What the instances send each other without a change is counted over the same time.
    constexpr std::chrono::seconds interval { 3 };
    double before = sumPeerBytes(fixture, numInstances);
    std::this_thread::sleep_for(interval);
    double quiet = sumPeerBytes(fixture, numInstances) - before;
    fixture.configure(3, makeDatabases(numDatabases + 1));
    CHECK_TRUE(waitUntilAllHave(fixture, numInstances, 3));
    std::this_thread::sleep_for(interval);
    double changed = sumPeerBytes(fixture, numInstances) - before - quiet;
    CHECK(changed - quiet <= numInstances * controlBytesPerSecond * interval.count());
}

// When its zone reader stopped, every instance of the zone read the whole configuration from the store at once, and again and
// again while the link was full of it.
TEST(GatewayLargeConfiguration, oneInstanceTakesOverTheReadsOfAZoneReaderThatStopped)
{
    constexpr std::size_t numInstances = 12;
    GatewayFixture fixture(numInstances);
    CHECK_TRUE(fixture.waitUntilServed("bookings"));
    CHECK_TRUE(waitUntilAllKnowEachOther(fixture, numInstances));
    // Until the other instances of the zone rely on the reader.
    std::this_thread::sleep_for(std::chrono::seconds(3));
    std::vector<std::size_t> before;
    for (std::size_t instance = 0; instance < numInstances; instance++)
        before.push_back(fixture.getStore().countReads(instance, "config"));
    std::this_thread::sleep_for(std::chrono::seconds(3));
    constexpr std::size_t zone = 1;
    std::size_t reader = zone;
    for (std::size_t instance = zone; instance < numInstances; instance += numZones) {
        std::size_t numReads = fixture.getStore().countReads(instance, "config") - before[instance];
        if (numReads > fixture.getStore().countReads(reader, "config") - before[reader])
            reader = instance;
        before[instance] = fixture.getStore().countReads(instance, "config");
    }
    fixture.kill(reader);
    std::this_thread::sleep_for(std::chrono::seconds(3));
    std::size_t numReaders = 0;
    for (std::size_t instance = zone; instance < numInstances; instance += numZones) {
        if (instance != reader && fixture.getStore().countReads(instance, "config") > before[instance])
            numReaders++;
    }
    CHECK(numReaders >= 1);
    // The coordinator of failovers may read the store as well.
    CHECK(numReaders <= 2);
}
