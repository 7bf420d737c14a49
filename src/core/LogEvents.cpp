#include "lentiljunction/core/LogEvents.h"

#include "NonBlockingSink.h"
#include "lentiljunction/core/ProcessEnd.h"

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

    /// The limits apply to each event separately. The limit for warnings is higher, because each refused
    /// or failed request may be needed to find its cause, while successes are frequent and alike.
    constexpr std::uint64_t maximumInformationLinesPerSecond = 40;
    constexpr std::uint64_t maximumWarningLinesPerSecond = 400;

    /// Limits the lines of each event per second. Safe to call from any thread.
    class LogRateLimiter {
    public:
        /// Counts a line of an event.
        ///
        /// @param priority Low for a line that uses at most half of the event's limit
        /// @param numOmitted set once, in a new second, to the number of lines omitted before
        /// @returns whether the line may be written
        bool tryAcquireLine(const LogEvent& event, LinePriority priority, std::uint64_t& numOmitted)
        {
            std::lock_guard<std::mutex> lock(this->mutex);
            LineCount& lineCount = this->lineCounts[event.number];
            std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
            if (now - lineCount.windowStart >= std::chrono::seconds(1)) {
                numOmitted = lineCount.numOmitted;
                lineCount = { now, 0, 0 };
            }
            std::uint64_t limit = event.level == LogLevel::Information ? maximumInformationLinesPerSecond : maximumWarningLinesPerSecond;
            if (priority == LinePriority::Low)
                limit /= 2;
            if (lineCount.numWritten < limit) {
                lineCount.numWritten++;
                return true;
            }
            lineCount.numOmitted++;
            return false;
        }

    private:
        struct LineCount {
            std::chrono::steady_clock::time_point windowStart;
            std::uint64_t numWritten = 0;
            std::uint64_t numOmitted = 0;
        };

        std::mutex mutex;
        std::map<int, LineCount> lineCounts;
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
        events::portOpened,
        events::threadUnavailable,
        events::processEnded,
        events::handlerFailed,
        events::sessionsExhausted,
        events::bundleInForce,
        events::bundleRefused,
        events::storeUnavailable,
        events::storeAvailable,
        events::routesInForce,
        events::routesInvalid,
        events::entryInvalid,
        events::storeCallFailed,
        events::storeRestored,
        events::routesPositionLost,
        events::routesUnproven,
        events::routesProven,
        events::routesBehind,
        events::routesNotReceived,
        events::listOutdated,
        events::routesReceived,
        events::routesReadSlow,
        events::peerQueueLong,
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
        events::primaryRecordOutdated,
        events::primaryRecordRecovered,
        events::primaryConfirmed,
        events::commitsUnproved,
        events::promotionCallSent,
        events::promotionCallEnded,
        events::promotionCallInherited,
        events::promotionUnrequested,
        events::primaryReplaceable,
        events::primarySettled,
        events::newerTermSeen,
        events::formerPrimaryFound,
        events::primaryDemoted,
        events::promotionUnproved,
        events::groupsRegistered,
        events::logHoldersRemoved,
        events::instanceUnregistered,
        events::rollCalled,
        events::replyGivenUp,
        events::gateOpened,
        events::gateClosed,
        events::connectionDiscarded,
        events::upstreamLeaving,
        events::upstreamUnreachable,
        events::upstreamListed,
        events::upstreamFull,
        events::upstreamReachable,
        events::lenderSilent,
        events::loanOfOtherWorkspace,
        events::statementRefused,
        events::statementFailed,
        events::statementServed,
        events::statementRetried,
        events::sessionRefused,
        events::linesOmitted,
        events::keyRefused,
        events::quotaCoordinatorLost,
        events::quotaCoordinatorChanged,
        events::quotaMessageInvalid,
        events::upstreamEjected,
        events::upstreamRestored,
        events::capacityChanged,
        events::auditWriteFailed,
    };
    return all;
}

void logEvent(const LogEvent& event, const std::string& detail, LinePriority priority)
{
    static LogRateLimiter rateLimiter;
    std::uint64_t numOmitted = 0;
    if (!rateLimiter.tryAcquireLine(event, priority, numOmitted))
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
    ProcessEnd::setInstance(instance);
}

} // namespace lentiljunction
