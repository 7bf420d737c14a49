#include "SettingsWait.h"

#include "../gateway/GatewaySettings.h"
#include "ServeSignals.h"

#include <chrono>
#include <fstream>

namespace lentiljunction {

namespace {

    constexpr std::chrono::seconds timeout { 2 };
    constexpr std::chrono::milliseconds pollInterval { 50 };

    bool endsWithLineBreak(const std::string& path)
    {
        std::ifstream stream(path, std::ios::binary | std::ios::ate);
        if (!stream || stream.tellg() <= 0)
            return false;
        stream.seekg(-1, std::ios::end);
        return stream.get() == '\n';
    }

    bool isComplete(const std::string& path)
    {
        Failure ignored;
        if (!endsWithLineBreak(path))
            return false;
        return isGatewayFile(path) ? loadGatewaySettings(path, ignored).has_value() : loadSettings(path, ignored).has_value();
    }

} // namespace

bool waitForSettings(const std::string& path)
{
    std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + timeout;
    while (!isComplete(path) && std::chrono::steady_clock::now() < end) {
        std::optional<int> received = waitForServeSignal(pollInterval);
        if (received && *received != SIGHUP)
            return false;
    }
    return true;
}

} // namespace lentiljunction
