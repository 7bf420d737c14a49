#include "lentiljunction/quota/LocalAdmissions.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    constexpr std::chrono::milliseconds longestRefusalCache { 50 };
    /// A later use would count in another window than the admission.
    constexpr std::chrono::milliseconds spareLifetime { 500 };
    constexpr std::size_t maximumSpares = 16;

} // namespace

std::optional<QuotaDecision> LocalAdmissions::take(const WorkspaceId& workspace, BootTime now)
{
    if (this->takeSpare(workspace, now))
        return QuotaDecision();
    std::map<WorkspaceId, Refusal>::const_iterator found = this->refusals.find(workspace);
    if (found == this->refusals.end() || now >= found->second.validUntil)
        return std::nullopt;
    return QuotaDecision { QuotaDecision::Kind::Refused, std::chrono::duration_cast<Duration>(found->second.retryAt - now) };
}

bool LocalAdmissions::takeSpare(const WorkspaceId& workspace, BootTime now)
{
    std::map<WorkspaceId, std::deque<BootTime>>::iterator found = this->spares.find(workspace);
    if (found == this->spares.end())
        return false;
    std::deque<BootTime>& ends = found->second;
    while (!ends.empty() && ends.front() <= now)
        ends.pop_front();
    if (ends.empty())
        return false;
    ends.pop_front();
    return true;
}

void LocalAdmissions::addRefusal(const WorkspaceId& workspace, Duration retryAfter, BootTime now)
{
    this->refusals[workspace] = { now + std::min<Duration>(longestRefusalCache, retryAfter), now + retryAfter };
}

void LocalAdmissions::addSpare(const WorkspaceId& workspace, BootTime now)
{
    std::deque<BootTime>& ends = this->spares[workspace];
    if (ends.size() < maximumSpares)
        ends.push_back(now + spareLifetime);
}

void LocalAdmissions::clear()
{
    this->refusals.clear();
    this->spares.clear();
}

} // namespace lentiljunction
