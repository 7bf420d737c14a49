#include "lentiljunction/leadership/PermitBook.h"

#include <algorithm>

namespace lentiljunction {

bool PermitBook::onStoreAnswer(const VersionedLead& lead, BootTime sentAt)
{
    return this->take(lead, sentAt + permitSpan);
}

bool PermitBook::onPeerAnswer(const VersionedLead& lead, Duration remaining, BootTime sentAt)
{
    return this->take(lead, sentAt + std::min<Duration>(remaining, permitSpan));
}

Duration PermitBook::getRemaining(BootTime now) const
{
    if (!this->view.isPermitted(now))
        return Duration(0);
    return std::chrono::duration_cast<Duration>(this->view.permitEnd - now);
}

bool PermitBook::take(const VersionedLead& lead, BootTime permitEnd)
{
    if (lead.record == nullptr)
        return false;

    // A change that this instance does not know of was written after each read that did not show it,
    // so whoever made it waits beyond the permit of each such read. The longest permit is therefore
    // valid for the newest record, whichever read brought which.
    this->view.permitEnd = std::max(this->view.permitEnd, permitEnd);
    bool isNewer = this->view.lead.record == nullptr || this->view.lead.revision < lead.revision;
    if (isNewer)
        this->view.lead = lead;
    // Nobody waits for a retired instance any more.
    if (this->isRetired())
        this->view.permitEnd = BootTime();
    return isNewer;
}

bool PermitBook::isRetired() const
{
    const LeadRecord* record = this->view.lead.record.get();
    return record != nullptr && record->retired.count(this->self) > 0;
}

} // namespace lentiljunction
