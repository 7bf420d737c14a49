#include "GatewayServe.h"

#include "../gateway/GatewayInstance.h"
#include "CommandLine.h"
#include "ServeSignals.h"
#include "lentiljunction/core/LogEvents.h"

namespace lentiljunction {

namespace {

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
