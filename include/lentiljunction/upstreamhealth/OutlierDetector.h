#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace lentiljunction {

/// What became of one statement at an upstream. Refusals that the role or the log of the upstream explains are no
/// results.
enum class UpstreamResult {
    Success,
    /// The upstream ran the statement and failed it.
    Error,
    /// No answer arrived in time.
    NoAnswer,
    /// The connection was lost after the statement was sent.
    Reset,
    /// The upstream refused the statement because it is busy.
    Shed,
    /// A connection could not be opened.
    NotOpened,
};

/// Detects upstreams that fail part of their work although their health check is good.
///
/// An upstream whose share of failures is high, both absolutely and compared with the rest of its group, is ejected for a
/// time that doubles with each ejection. Then single statements probe it, and successes restore it. An ejected upstream
/// is the last choice and not forbidden, so a wrong ejection costs time and no service.
///
/// Refusals count only when a full queue does not explain them: statements behind a full queue take long, so an
/// upstream that refuses some statements and answers the others quickly is not full.
///
/// Decides without sockets and timers. Not thread-safe; the traffic thread owns it.
class OutlierDetector {
public:
    /// The result of one statement.
    struct Sample {
        UpstreamId upstream;
        UpstreamResult result = UpstreamResult::Success;
        /// When the statement was sent.
        TimePoint startedAt;
    };

    /// A change of the state of an upstream.
    enum class Change {
        None,
        Ejected,
        Restored,
    };

    explicit OutlierDetector(const Clock& clock)
        : clock(clock)
    {
    }

    /// Records a result.
    ///
    /// @param members the upstreams of the group that may serve now; all but one of them may be ejected
    Change onResult(const Sample& sample, const std::vector<UpstreamId>& members);

    /// Records that a statement was sent to the upstream, which may be the probe of an ejected one.
    void onStarted(const UpstreamId& upstream);

    /// @returns whether the upstream should be used only when no other one can serve
    bool isAvoided(const UpstreamId& upstream) const { return this->getAvoidedFor(upstream) > Duration(0); }

    /// @returns for how long the upstream should be avoided; zero when a statement may be sent now
    Duration getAvoidedFor(const UpstreamId& upstream) const;

    /// @returns whether the upstream is ejected or being probed
    bool isEjected(const UpstreamId& upstream) const;

    /// @returns the duration of the current ejection of the upstream
    Duration getEjectionTime(const UpstreamId& upstream) const;

    /// Forgets an upstream that left.
    void remove(const UpstreamId& upstream) { this->upstreams.erase(upstream); }

private:
    struct Entry {
        UpstreamResult result;
        Duration latency;
        TimePoint at;
    };

    struct Record {
        std::deque<Entry> window;
        bool isEjected = false;
        bool isEjectedForRefusals = false;
        TimePoint ejectedUntil;
        Duration ejectionTime { 0 };
        TimePoint restoredAt;
        /// When the unanswered probe was sent.
        std::optional<TimePoint> probeStartedAt;
        int numProbeSuccesses = 0;
    };

    /// The results in the window of one or more upstreams.
    struct Counts {
        std::size_t numSamples = 0;
        std::size_t numFailures = 0;

        double getFailureShare() const { return this->numSamples == 0 ? 0 : static_cast<double>(this->numFailures) / static_cast<double>(this->numSamples); }
    };

    Counts count(const Record& record) const;
    bool isOutlier(const UpstreamId& upstream, const std::vector<UpstreamId>& members) const;
    bool mayEject(const UpstreamId& upstream, const std::vector<UpstreamId>& members) const;
    void eject(Record& record);
    Change onProbeResult(Record& record, const Sample& sample);

    const Clock& clock;
    std::map<UpstreamId, Record> upstreams;
};

/// @returns the name of a result for logs
const char* toString(UpstreamResult result);

} // namespace lentiljunction
