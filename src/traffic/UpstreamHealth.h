#pragma once

#include "lentiljunction/upstreamhealth/OutlierDetector.h"
#include "lentiljunction/upstreamhealth/PauseDetector.h"

#include "lentiljunction/interactive/SessionReply.h"

namespace lentiljunction {

/// Classifies the reply of an upstream.
///
/// An error counts only for a read: the error of a write is often the answer that its data deserves, such as a violated
/// constraint. Refusals that the role or the log of the upstream explains do not count.
///
/// @returns the result, or nothing when the reply says nothing about the health of the upstream
std::optional<UpstreamResult> classifyReply(ReplyCode code, AccessMode mode);

/// Feeds the results of statements to the detector of failing upstreams and logs its decisions, when it is enabled.
///
/// Not thread-safe; the traffic thread owns it.
class UpstreamHealth {
public:
    /// Interval of the ticks that detect a pause of this instance.
    static constexpr std::chrono::milliseconds tickInterval { 50 };

    explicit UpstreamHealth(const Clock& clock)
        : clock(clock)
        , detector(clock)
        , pauses(tickInterval, tickInterval)
    {
    }

    void enable() { this->enabled = true; }
    bool isEnabled() const { return this->enabled; }

    /// Must be called at the tick interval, so that results which contain a pause of this instance are ignored.
    void onTick() { this->pauses.onTick(this->clock.now()); }

    const PauseDetector& getPauses() const { return this->pauses; }

    /// Records the result of a statement.
    ///
    /// @param members the upstreams of the group that may serve now
    void onResult(const OutlierDetector::Sample& sample, const std::vector<UpstreamId>& members);

    /// Records that a statement is sent to an upstream.
    void onStarted(const UpstreamId& upstream) { this->detector.onStarted(upstream); }

    /// @returns for how long reads should avoid the upstream; zero when a statement may be sent now
    Duration getAvoidedFor(const UpstreamId& upstream) const { return this->detector.getAvoidedFor(upstream); }

    bool isEjected(const UpstreamId& upstream) const { return this->detector.isEjected(upstream); }

    /// Forgets an upstream that left.
    void remove(const UpstreamId& upstream) { this->detector.remove(upstream); }

private:
    const Clock& clock;
    OutlierDetector detector;
    PauseDetector pauses;
    bool enabled = false;
};

} // namespace lentiljunction
