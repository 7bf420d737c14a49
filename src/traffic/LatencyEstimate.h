#pragma once

#include "lentiljunction/core/Clock.h"

namespace lentiljunction {

/// The usual latency of an upstream, which is forgotten when it is not confirmed.
///
/// An upstream that was slow gets no work and so no new latency; without forgetting it would never get
/// work again.
///
/// Not thread-safe; the traffic thread owns it.
class LatencyEstimate {
public:
    /// A statement took this long.
    void onSample(Duration latency, TimePoint now);

    /// @returns the mean of the recent latencies, or a usual one when there are none
    Duration get(TimePoint now) const;

private:
    /// Latency that is assumed of an upstream that was not used lately.
    static constexpr std::chrono::milliseconds defaultLatency { 8 };

    Duration mean { defaultLatency };
    TimePoint sampledAt;
};

} // namespace lentiljunction
