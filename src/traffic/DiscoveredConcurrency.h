#pragma once

#include "lentiljunction/core/Ids.h"
#include "lentiljunction/upstreamhealth/CapacityEstimator.h"
#include "lentiljunction/upstreamhealth/PauseDetector.h"

namespace lentiljunction {

/// Limits the statements at one upstream to the number that the estimator found, and logs when it changed much.
class DiscoveredConcurrency : public ConcurrencyPolicy {
public:
    /// @param clock must outlive this object
    /// @param pauses must outlive this object
    DiscoveredConcurrency(UpstreamId upstream, int slots, const Clock& clock, const PauseDetector& pauses);

    void onAnswer(const Answer& answer) override;
    void onRefused() override;
    int getLimit() const override { return static_cast<int>(this->estimator.getLimit()); }
    std::optional<Evidence> getEvidence() const override { return Evidence { this->estimator.getLimit(), this->estimator.getNumSamples(), this->estimator.getAge() }; }

private:
    void logChange(const char* cause);

    UpstreamId upstream;
    const Clock& clock;
    const PauseDetector& pauses;
    CapacityEstimator estimator;
    double loggedLimit;
    TimePoint loggedAt;
};

} // namespace lentiljunction
