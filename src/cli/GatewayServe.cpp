#include "GatewayServe.h"

#include "../gateway/GatewayInstance.h"
#include "CommandLine.h"
#include "ServeSignals.h"
#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/core/ProcessEnd.h"

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

    EndCause toEndCause(int exitCode)
    {
        switch (exitCode) {
        case exitcodes::ok:
            return EndCause::Stopped;
        case exitcodes::usage:
            return EndCause::Settings;
        default:
            return EndCause::Failure;
        }
    }

    int runGateway(const std::string& path, const GatewayAdapter& adapter, Failure& failure)
    {
        ProcessEnd::install();
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

} // namespace

int serveGateway(const std::string& path, const GatewayAdapter& adapter)
{
    Failure failure;
    int exitCode = runGateway(path, adapter, failure);
    ProcessEnd::reportExit(toEndCause(exitCode), exitCode, failure.reason);
    return exitCode;
}

} // namespace lentiljunction
