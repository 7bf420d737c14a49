#include "lentiljunction/confirmation/ConfirmationTracker.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// Whether the upstream counts towards a majority: it is fenced at the term of its last log entry.
    bool isFencedAtHeadTerm(const UpstreamStatus& status)
    {
        return status.fencedTerm == status.head.term;
    }

} // namespace

ConfirmationTracker::ConfirmationTracker(std::size_t majority, Durability durability)
    : majority(majority)
    , durability(durability)
{
}

void ConfirmationTracker::setDurabilityRule(std::size_t newMajority, Durability newDurability)
{
    this->majority = newMajority;
    this->durability = newDurability;
}

void ConfirmationTracker::add(const Write& write)
{
    this->writes.push_back(write);
}

void ConfirmationTracker::onStatus(const UpstreamId& upstream, const UpstreamStatus& status, TimePoint requestedAt)
{
    Report& report = this->reports[upstream];
    bool isOlder = status.fencedTerm < report.status.fencedTerm
        || (status.fencedTerm == report.status.fencedTerm && status.head < report.status.head);
    if (isOlder)
        return;

    report.status = status;
    report.requestedAt = std::max(report.requestedAt, requestedAt);
}

std::vector<ConfirmationTracker::Resolution> ConfirmationTracker::takeResolved(TimePoint now)
{
    std::vector<Resolution> resolved;
    std::vector<Write> waiting;
    for (const Write& write : this->writes) {
        std::optional<Verdict> verdict = this->decide(write);
        if (!verdict && write.deadline <= now)
            verdict = Verdict::Expired;

        if (verdict)
            resolved.push_back({ write.ticket, *verdict });
        else
            waiting.push_back(write);
    }
    this->writes = std::move(waiting);
    return resolved;
}

bool ConfirmationTracker::isDurable(LogPoint point) const
{
    return this->decideReplicated(point) == Verdict::Confirmed;
}

std::optional<ConfirmationTracker::Verdict> ConfirmationTracker::decide(const Write& write) const
{
    if (this->durability == Durability::Replicated)
        return this->decideReplicated(write.point);
    return this->decideByPrimary(write);
}

std::optional<ConfirmationTracker::Verdict> ConfirmationTracker::decideReplicated(LogPoint point) const
{
    std::map<Term, std::size_t> numCovering;
    std::map<Term, std::size_t> numDiverged;
    for (const std::pair<const UpstreamId, Report>& entry : this->reports) {
        const UpstreamStatus& status = entry.second.status;
        if (!isFencedAtHeadTerm(status) || status.head.term < point.term)
            continue;

        Coverage coverage = status.getCoverage(point);
        if (coverage == Coverage::Covered)
            numCovering[status.head.term]++;
        if (coverage == Coverage::Diverged)
            numDiverged[status.head.term]++;
    }

    for (const std::pair<const Term, std::size_t>& count : numCovering) {
        if (count.second >= this->majority)
            return Verdict::Confirmed;
    }
    for (const std::pair<const Term, std::size_t>& count : numDiverged) {
        if (count.second >= this->majority)
            return Verdict::Lost;
    }
    return std::nullopt;
}

std::optional<ConfirmationTracker::Verdict> ConfirmationTracker::decideByPrimary(const Write& write) const
{
    std::size_t numStillFenced = 0;
    for (const std::pair<const UpstreamId, Report>& entry : this->reports) {
        if (entry.second.status.fencedTerm == write.point.term && entry.second.requestedAt >= write.committedAt)
            numStillFenced++;
    }
    if (numStillFenced >= this->majority)
        return Verdict::Confirmed;
    return this->decideReplicated(write.point);
}

} // namespace lentiljunction
