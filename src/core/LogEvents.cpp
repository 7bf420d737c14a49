#include "lentiljunction/core/LogEvents.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace lentiljunction {

namespace {

    spdlog::level::level_enum toSpdlogLevel(LogLevel level)
    {
        switch (level) {
        case LogLevel::Information:
            return spdlog::level::info;
        case LogLevel::Warning:
            return spdlog::level::warn;
        case LogLevel::Error:
            return spdlog::level::err;
        }
        return spdlog::level::info;
    }

} // namespace

const std::vector<LogEvent>& getAllLogEvents()
{
    static const std::vector<LogEvent> all {
        events::instanceStarting,
        events::instanceReady,
        events::instanceDraining,
        events::instanceStopped,
        events::settingsInvalid,
        events::portUnavailable,
        events::bundleInForce,
        events::bundleRefused,
        events::storeUnavailable,
        events::storeBack,
        events::memberChanged,
        events::peerLinkOpened,
        events::peerLinkLost,
        events::peerMessageInvalid,
        events::termsReserved,
        events::primarySuspected,
        events::promotionStarted,
        events::promotionDone,
        events::promotionFailed,
        events::primaryChanged,
        events::gateOpened,
        events::gateClosed,
        events::connectionDiscarded,
        events::upstreamLeaving,
        events::auditWriteFailed,
    };
    return all;
}

void logEvent(const LogEvent& event, const std::string& detail)
{
    spdlog::log(toSpdlogLevel(event.level), "event={} name={} {}", event.number, event.name, detail);
}

void initialiseLog(const std::string& instance)
{
    std::shared_ptr<spdlog::logger> logger = spdlog::stderr_logger_mt("lentiljunction");
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%fZ level=%l instance=" + instance + " %v", spdlog::pattern_time_type::utc);
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
}

} // namespace lentiljunction
