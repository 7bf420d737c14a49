#include "UpstreamHealth.h"

#include "lentiljunction/core/LogEvents.h"

namespace lentiljunction {

std::optional<UpstreamResult> classifyReply(ReplyCode code, AccessMode mode)
{
    switch (code) {
    case ReplyCode::None:
        return UpstreamResult::Success;
    case ReplyCode::Busy:
        return UpstreamResult::Shed;
    case ReplyCode::Failed:
        return mode == AccessMode::Read ? std::optional<UpstreamResult>(UpstreamResult::Error) : std::nullopt;
    default:
        return std::nullopt;
    }
}

void UpstreamHealth::onResult(const OutlierDetector::Sample& sample, const std::vector<UpstreamId>& members)
{
    // An answer that arrived during a pause of this instance looks like none.
    if (!this->enabled || this->pauses.isAffected(sample.startedAt, this->clock.now()))
        return;
    OutlierDetector::Change change = this->detector.onResult(sample, members);
    std::string upstream = "upstream=" + sample.upstream.toString();
    if (change == OutlierDetector::Change::Ejected)
        logEvent(events::upstreamEjected, upstream + " last_result=" + toString(sample.result) + " for_ms=" + std::to_string(this->detector.getEjectionTime(sample.upstream).count() / 1000) + " members=" + std::to_string(members.size()));
    if (change == OutlierDetector::Change::Restored)
        logEvent(events::upstreamRestored, upstream);
}

} // namespace lentiljunction
