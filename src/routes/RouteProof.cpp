#include "lentiljunction/routes/RouteProof.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// A new configuration must be in force within three seconds of the store's acknowledgement. The remaining time is
    /// for a read.
    constexpr std::chrono::milliseconds proofLifetime { 2500 };
    /// Other instances are asked while there is still time for several attempts. A zone reader reads the store every
    /// second, and its proofs reach the others within half a second.
    constexpr std::chrono::milliseconds otherInstancesDelay { 1700 };
    /// Time in which the instance that reported a newer configuration sends it, or the next part of it.
    constexpr std::chrono::milliseconds transferPatience { 300 };
    /// A transfer that takes longer, although it goes on, no longer keeps the store and other instances from being asked.
    constexpr std::chrono::milliseconds longestTransfer { 1200 };

} // namespace

std::string describe(const RouteSource& source)
{
    switch (source.kind) {
    case RouteSource::Kind::StoreRead:
        return "source=store_read";
    case RouteSource::Kind::StoreWatch:
        return "source=store_watch";
    case RouteSource::Kind::OtherInstance:
        return "source=instance peer=" + source.instance.host + ":" + std::to_string(source.instance.port);
    }
    return "source=unknown";
}

void RouteProofTracker::onProof(const RouteProof& newProof)
{
    if (!this->proof || newProof.provenAt > this->proof->provenAt)
        this->proof = newProof;
    if (!this->newer || newProof.source.kind != RouteSource::Kind::StoreRead || newProof.provenAt <= this->newer->reportedAt)
        return;
    this->refutedVersion = this->newer->version;
    this->newer.reset();
}

void RouteProofTracker::onTableKnown(BundleVersion newVersion)
{
    this->version = newVersion;
    if (this->newer && this->newer->version <= newVersion)
        this->newer.reset();
}

bool RouteProofTracker::onReported(BundleVersion reported, const RouteSource& source, BootTime now)
{
    if ((this->version && reported <= *this->version) || reported == this->refutedVersion)
        return false;
    if (this->newer && reported <= this->newer->version)
        return false;
    BootTime knownSince = this->newer ? this->newer->knownSince : now;
    BootTime transferredAt = this->newer ? this->newer->transferredAt : BootTime();
    this->newer = NewerRoutes { reported, knownSince, now, source, transferredAt };
    return true;
}

void RouteProofTracker::onTransferProgress(BootTime now)
{
    if (this->newer)
        this->newer->transferredAt = now;
}

bool RouteProofTracker::isProven(BootTime now) const
{
    return this->proof && now < this->getExpiry();
}

BootTime RouteProofTracker::getExpiry() const
{
    return this->proof ? this->proof->provenAt + proofLifetime : BootTime();
}

BootTime RouteProofTracker::getOtherInstancesNeededAt() const
{
    if (this->newer)
        return std::max(this->newer->reportedAt, std::min<BootTime>(this->newer->transferredAt, this->newer->knownSince + longestTransfer)) + transferPatience;
    return this->proof ? this->proof->provenAt + otherInstancesDelay : BootTime();
}

RouteProofTracker::Change RouteProofTracker::checkProven(BootTime now)
{
    bool isNowProven = this->isProven(now);
    if (isNowProven == this->wasProven)
        return Change::None;
    this->wasProven = isNowProven;
    return isNowProven ? Change::Regained : Change::Lost;
}

} // namespace lentiljunction
