#include "StatementHealth.h"

namespace lentiljunction {

void StatementHealth::report(const HeldConnection& held, std::optional<UpstreamResult> result)
{
    if (!result || !held.isHeld())
        return;
    // The lender tells a lost upstream from a lost link to the lender.
    bool isMissing = *result == UpstreamResult::NoAnswer || *result == UpstreamResult::Reset;
    if (isMissing && !held.source->isOwn(held.connection))
        return;
    this->state.onResult({ held.connection->getUpstream(), *result, this->sentAt });
}

void StatementHealth::onReply(const HeldConnection& held, const SessionReply& reply, const StatementTraits& traits, AttemptOutcome outcome)
{
    if (outcome == AttemptOutcome::Error)
        return;
    if (outcome == AttemptOutcome::ErrorOfUpstream) {
        this->comparedSample = { held.connection->getUpstream(), UpstreamResult::Error, this->sentAt };
        this->comparedError = reply;
        return;
    }
    this->report(held, classifyReply(reply.code, traits.mode));
    if (this->comparedError && reply.isSuccess())
        this->state.onResult(this->comparedSample);
}

bool StatementHealth::mayCompareError(const StatementTraits& traits, const Target& target) const
{
    bool isSingleRead = !traits.isInTransaction && traits.mode == AccessMode::Read;
    return isSingleRead && !this->comparedError && target.hasAlternative && this->state.getHealth().isEnabled();
}

} // namespace lentiljunction
