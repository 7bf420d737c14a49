#pragma once

#include "lentiljunction/core/Clock.h"

namespace lentiljunction {

/// The expected latency of an upstream: a moving average that expires.
///
/// A slow upstream receives no statements and therefore no new samples. If the average did not expire, the
/// upstream would never be used again.
///
/// Not thread-safe; the traffic thread owns it.
class LatencyEstimate {
public:
    /// Adds the latency of one statement.
    void onSample(Duration latency, TimePoint now);

    /// @returns the average of recent samples; after they expire, at most the default latency
    Duration get(TimePoint now) const;

private:
    /// Latency expected of an upstream that was not used recently.
    static constexpr std::chrono::milliseconds defaultLatency { 8 };

    Duration mean { defaultLatency };
    TimePoint sampledAt;
};

} // namespace lentiljunction
