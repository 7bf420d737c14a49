#include "GroupState.h"

#include <utility>

namespace lentiljunction {

GroupState::GroupState(const DatabaseConfig& database)
    : tracker(database.getMajority(), database.durability)
    , ages(database.getMajority())
{
}

void GroupState::setDatabase(const DatabaseConfig& database)
{
    this->tracker.setDurabilityRule(database.getMajority(), database.durability);
}

void GroupState::onStatus(const UpstreamId& upstream, const UpstreamStatus& status, TimePoint requestedAt)
{
    this->tracker.onStatus(upstream, status, requestedAt);
    this->ages.onStatus(upstream, status, requestedAt);

    UpstreamStatus& known = this->statuses[upstream];
    bool isOlder = status.fencedTerm < known.fencedTerm || (status.fencedTerm == known.fencedTerm && status.head < known.head);
    if (!isOlder)
        known = status;
}

void GroupState::onCommitStatus(const UpstreamId& upstream, const UpstreamStatus& status, TimePoint committedAt)
{
    this->tracker.onStatus(upstream, status, committedAt);
}

void GroupState::confirm(LogPoint point, TimePoint committedAt, TimePoint deadline, ConfirmHandler handler)
{
    ConfirmationTracker::Ticket ticket = this->nextTicket++;
    this->handlers[ticket] = std::move(handler);
    this->tracker.add({ ticket, point, committedAt, deadline });
}

void GroupState::resolve(TimePoint now)
{
    for (const ConfirmationTracker::Resolution& resolution : this->tracker.takeResolved(now)) {
        std::map<ConfirmationTracker::Ticket, ConfirmHandler>::iterator found = this->handlers.find(resolution.ticket);
        ConfirmHandler handler = std::move(found->second);
        this->handlers.erase(found);
        handler(resolution.verdict);
    }
}

std::optional<PrimaryHint> GroupState::getPrimary() const
{
    std::optional<PrimaryHint> primary;
    for (const std::pair<const UpstreamId, UpstreamStatus>& entry : this->statuses) {
        const UpstreamStatus& status = entry.second;
        bool isActing = status.isPrimary && status.fencedTerm == status.head.term;
        if (isActing && (!primary || primary->term < status.head.term))
            primary = PrimaryHint { status.head.term, entry.first };
    }
    return primary;
}

const UpstreamStatus* GroupState::findStatus(const UpstreamId& upstream) const
{
    std::map<UpstreamId, UpstreamStatus>::const_iterator found = this->statuses.find(upstream);
    return found == this->statuses.end() ? nullptr : &found->second;
}

} // namespace lentiljunction
