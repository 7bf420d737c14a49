#include "lentiljunction/leadership/LeaseTracker.h"

#include <algorithm>

namespace lentiljunction {

bool LeaseTracker::onStoreResponse(const VersionedPrimaryRecord& versioned, BootTime sentAt)
{
    return this->update(versioned, sentAt + leaseDuration);
}

bool LeaseTracker::onPeerResponse(const VersionedPrimaryRecord& versioned, Duration remaining, BootTime sentAt)
{
    return this->update(versioned, sentAt + std::min<Duration>(remaining, leaseDuration));
}

Duration LeaseTracker::getRemaining(BootTime now) const
{
    if (!this->view.hasValidLease(now))
        return Duration(0);
    return std::chrono::duration_cast<Duration>(this->view.leaseEnd - now);
}

bool LeaseTracker::update(const VersionedPrimaryRecord& versioned, BootTime leaseEnd)
{
    if (versioned.record == nullptr)
        return false;

    // A change that this instance does not know of was written after each read that did not show it,
    // so whoever made it waits beyond the permit of each such read. The longest permit is therefore
    // valid for the newest record, whichever read brought which.
    this->view.leaseEnd = std::max(this->view.leaseEnd, leaseEnd);
    bool isNewer = this->view.latest.record == nullptr || this->view.latest.revision < versioned.revision;
    if (isNewer)
        this->view.latest = versioned;
    // Nobody waits for a retired instance any more.
    if (this->isRetired())
        this->view.leaseEnd = BootTime();
    return isNewer;
}

bool LeaseTracker::isRetired() const
{
    const PrimaryRecord* record = this->view.latest.record.get();
    return record != nullptr && record->retired.count(this->self) > 0;
}

} // namespace lentiljunction
