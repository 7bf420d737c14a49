#include "lentiljunction/leadership/LeaseTracker.h"

#include <algorithm>

namespace lentiljunction {

void LeaseTracker::onRegistered(StoreEra era)
{
    this->registeredAt.emplace(era, this->clock.bootNow());
}

bool LeaseTracker::mayGetLease(StoreEra era, BootTime leaseStart) const
{
    std::map<StoreEra, BootTime>::const_iterator since = this->registeredAt.find(era);
    return since != this->registeredAt.end() && since->second <= leaseStart;
}

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

    // A failover that this instance does not know of was written after every read that did not show it,
    // so its coordinator waits until the lease of each such read has expired. The longest lease is
    // therefore valid for the newest record, even if they come from different reads.
    bool isNewer = versioned.isNewerThan(this->view.latest);
    bool isNewerEra = isNewer && this->view.latest.record != nullptr && this->view.latest.record->era != versioned.record->era;
    if (isNewerEra)
        this->view.leaseEnd = BootTime();
    // A restored record is older than the known one and does not show whether that one is still valid.
    bool isSameEra = isNewer || versioned.record->era == this->view.latest.record->era;
    if (isSameEra && versioned.isCurrent() && this->mayGetLease(versioned.record->era, leaseEnd - leaseDuration))
        this->view.leaseEnd = std::max(this->view.leaseEnd, leaseEnd);
    if (isNewer) {
        this->view.latest = versioned;
        this->openPromotions.onRecord(*versioned.record, this->clock.bootNow());
    }
    // Failovers do not wait for the lease of a retired instance.
    if (this->isRetired())
        this->view.leaseEnd = BootTime();
    return isNewer;
}

bool LeaseTracker::isReplacing(const GroupId& group, BootTime now) const
{
    return this->view.hasValidLease(now) && this->view.latest.record->coordinator == this->self && this->view.isChanging(group);
}

bool LeaseTracker::isRetired() const
{
    const PrimaryRecord* record = this->view.latest.record.get();
    return record != nullptr && record->retired.count(this->self) > 0;
}

} // namespace lentiljunction
