#include "GatewayServe.h"

#include "../gateway/GatewayInstance.h"
#include "CommandLine.h"
#include "ServeSignals.h"
#include "lentiljunction/core/Backoff.h"
#include "lentiljunction/core/LogEvents.h"

#include <malloc.h>

namespace lentiljunction {

namespace {

    /// In bytes. Most messages are far smaller.
    constexpr int smallestSeparateBlock = 128 << 10;

    /// Returns the memory of long messages to the system as soon as they are freed. By default the C library raises the
    /// threshold after the first of them and keeps the memory of the others.
    void returnLongBlocks()
    {
        ::mallopt(M_MMAP_THRESHOLD, smallestSeparateBlock);
        ::mallopt(M_TRIM_THRESHOLD, smallestSeparateBlock * 2);
    }

    constexpr std::chrono::milliseconds firstThreadRetry { 50 };
    constexpr std::chrono::milliseconds longestThreadRetry { 900 };
    constexpr std::chrono::seconds reportInterval { 30 };

    /// Tries until the system grants the threads: another process may use them up for a time.
    ///
    /// @returns whether they run; not when a signal came that stops the process
    bool startThreads(GatewayInstance& instance, const Clock& clock)
    {
        Backoff retries(firstThreadRetry, longestThreadRetry);
        TimePoint nextReportAt = clock.now();
        for (Failure failure; !instance.startThreads(failure);) {
            if (clock.now() >= nextReportAt) {
                nextReportAt = clock.now() + reportInterval;
                logEvent(events::threadUnavailable, "reason=\"" + failure.reason + "\"");
            }
            std::optional<int> received = waitForServeSignal(std::chrono::duration_cast<std::chrono::milliseconds>(retries.onFailure()));
            if (received && *received != SIGHUP)
                return false;
        }
        return true;
    }

    void reloadSettings(const std::string& path)
    {
        // Addresses cannot change while sessions are open, so this only checks the file; changes take effect at
        // the next start.
        Failure failure;
        std::optional<GatewaySettings> settings = loadGatewaySettings(path, failure);
        if (settings)
            logEvent(events::settingsReloaded, "settings=" + path);
        else
            logEvent(events::settingsInvalid, "settings=" + path + " reason=\"" + failure.reason + "\"");
    }

} // namespace

int serveGateway(const std::string& path, const GatewayAdapter& adapter, Failure& failure)
{
    std::optional<GatewaySettings> settings = loadGatewaySettings(path, failure);
    if (!settings)
        return reportFailure(failure);

    returnLongBlocks();
    initialiseLog(settings->instance.toString());
    logEvent(events::instanceStarting, "zone=" + settings->zone.toString() + " settings=" + path);
    SystemClock clock;
    GatewayInstance instance(*settings, clock, adapter.getProtocol(), [&adapter](EventLoop& loop, const GatewaySettings& given) { return adapter.makeStore(loop, given); });
    instance.start();
    if (!startThreads(instance, clock))
        return exitcodes::ok;

    int received = 0;
    while (sigwait(&getServeSignals(), &received) == 0 && received == SIGHUP)
        reloadSettings(path);
    instance.drain();
    return exitcodes::ok;
}

} // namespace lentiljunction
