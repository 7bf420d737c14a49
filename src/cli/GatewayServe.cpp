#include "GatewayServe.h"

#include "../gateway/GatewayInstance.h"
#include "CommandLine.h"
#include "ServeSignals.h"
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

    int received = 0;
    while (sigwait(&getServeSignals(), &received) == 0 && received == SIGHUP)
        reloadSettings(path);
    instance.drain();
    return exitcodes::ok;
}

} // namespace lentiljunction
