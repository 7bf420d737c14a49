#include "lentiljunction/routes/RouteProof.h"

namespace lentiljunction {

namespace {

    /// A new configuration must be in force within three seconds of the store's acknowledgement. The remaining time is
    /// for a read.
    constexpr std::chrono::milliseconds proofLifetime { 2500 };

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
}

void RouteProofTracker::onTableInForce(BundleVersion newVersion)
{
    this->version = newVersion;
    if (this->newer && this->newer->version <= newVersion)
        this->newer.reset();
}

bool RouteProofTracker::onReported(BundleVersion reported, const RouteSource& source, BootTime now)
{
    if (this->version && reported <= *this->version)
        return false;
    if (this->newer && reported <= this->newer->version)
        return false;
    BootTime knownSince = this->newer ? this->newer->knownSince : now;
    this->newer = NewerRoutes { reported, knownSince, source };
    return true;
}

bool RouteProofTracker::isProven(BootTime now) const
{
    return this->proof && now < this->getExpiry();
}

BootTime RouteProofTracker::getExpiry() const
{
    return this->proof ? this->proof->provenAt + proofLifetime : BootTime();
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
