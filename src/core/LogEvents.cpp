#include "lentiljunction/core/LogEvents.h"

#include "NonBlockingSink.h"

#include <chrono>
#include <map>
#include <mutex>
#include <spdlog/spdlog.h>
#include <unistd.h>

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

    /// Lines of one event in one second. Successes are many and alike; each refusal counts for whoever
    /// looks for its cause.
    constexpr std::uint64_t informationPerSecond = 40;
    constexpr std::uint64_t warningsPerSecond = 400;

    /// Bounds the lines of each event. Safe to call from any thread.
    class LineBudget {
    public:
        /// @param numOmitted set to the lines left out in the last second that had some, once
        /// @returns whether the line may be written
        bool take(const LogEvent& event, std::uint64_t& numOmitted)
        {
            std::lock_guard<std::mutex> lock(this->mutex);
            Account& account = this->accounts[event.number];
            std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
            if (now - account.since >= std::chrono::seconds(1)) {
                numOmitted = account.numOmitted;
                account = { now, 0, 0 };
            }
            std::uint64_t limit = event.level == LogLevel::Information ? informationPerSecond : warningsPerSecond;
            if (account.numWritten < limit) {
                account.numWritten++;
                return true;
            }
            account.numOmitted++;
            return false;
        }

    private:
        struct Account {
            std::chrono::steady_clock::time_point since;
            std::uint64_t numWritten = 0;
            std::uint64_t numOmitted = 0;
        };

        std::mutex mutex;
        std::map<int, Account> accounts;
    };

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
        events::settingsReloaded,
        events::bundleInForce,
        events::bundleRefused,
        events::storeUnavailable,
        events::storeAvailable,
        events::routesInForce,
        events::routesInvalid,
        events::entryInvalid,
        events::storeCallFailed,
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
        events::primaryRecordUpdated,
        events::leaseLost,
        events::leaseRegained,
        events::failoverStep,
        events::failoverAbandoned,
        events::instanceReturned,
        events::gateOpened,
        events::gateClosed,
        events::connectionDiscarded,
        events::upstreamLeaving,
        events::upstreamUnreachable,
        events::upstreamListed,
        events::upstreamFull,
        events::upstreamReachable,
        events::statementRefused,
        events::statementFailed,
        events::statementServed,
        events::statementRetried,
        events::sessionRefused,
        events::linesOmitted,
        events::auditWriteFailed,
    };
    return all;
}

void logEvent(const LogEvent& event, const std::string& detail)
{
    static LineBudget budget;
    std::uint64_t numOmitted = 0;
    if (!budget.take(event, numOmitted))
        return;
    if (numOmitted > 0)
        spdlog::log(spdlog::level::warn, "event={} name={} of={} lines={}", events::linesOmitted.number, events::linesOmitted.name, event.name, numOmitted);
    spdlog::log(toSpdlogLevel(event.level), "event={} name={} {}", event.number, event.name, detail);
}

void initialiseLog(const std::string& instance)
{
    std::shared_ptr<spdlog::logger> logger = std::make_shared<spdlog::logger>("lentiljunction", std::make_shared<NonBlockingSink>(STDOUT_FILENO));
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%fZ level=%l instance=" + instance + " %v", spdlog::pattern_time_type::utc);
    spdlog::set_default_logger(logger);
}

} // namespace lentiljunction
