#include "GatewayServe.h"

#include "../gateway/GatewayInstance.h"
#include "CommandLine.h"
#include "lentiljunction/core/LogEvents.h"

#include <csignal>
#include <pthread.h>

namespace lentiljunction {

namespace {

    void blockSignals(sigset_t& signals)
    {
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGHUP);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
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

int serveGateway(const std::string& path, const GatewayAdapter& adapter)
{
    sigset_t signals;
    blockSignals(signals);
    Failure failure;
    std::optional<GatewaySettings> settings = loadGatewaySettings(path, failure);
    if (!settings)
        return reportFailure(failure);

    initialiseLog(settings->instance.toString());
    logEvent(events::instanceStarting, "zone=" + settings->zone.toString() + " settings=" + path);
    SystemClock clock;
    GatewayInstance instance(*settings, clock, adapter.getProtocol(), [&adapter](EventLoop& loop, const GatewaySettings& given) { return adapter.makeStore(loop, given); });
    instance.start();

    int received = 0;
    while (sigwait(&signals, &received) == 0 && received == SIGHUP)
        reloadSettings(path);
    instance.drain();
    return exitcodes::ok;
}

} // namespace lentiljunction
