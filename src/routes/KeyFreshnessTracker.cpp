#include "lentiljunction/routes/KeyFreshnessTracker.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

namespace {

    /// The configuration counts as current for this long after its last confirmation; other instances pass
    /// confirmations on for as long.
    constexpr std::chrono::milliseconds currentLifetime { 2500 };
    /// Less than the 5 s after which a removed key must not be accepted, by the time that a statement may wait at an
    /// upstream. More than a lost confirmation and two calls to the store take (2.5 s and 2 x 0.7 s).
    constexpr std::chrono::milliseconds keyLifetime { 4200 };
    constexpr std::chrono::milliseconds refusedKeyExtension { 15000 };

} // namespace

std::shared_ptr<const RouteConfirmation> KeyFreshnessTracker::onTableInForce()
{
    // Another thread may still have the former configuration, which is known to be out of date.
    if (this->confirmation != nullptr && this->currentAt)
        this->confirmation->set({ BootTime::min(), *this->currentAt + keyLifetime });
    this->confirmation = std::make_shared<RouteConfirmation>();
    this->update();
    return this->confirmation;
}

void KeyFreshnessTracker::onCurrentAt(BootTime time)
{
    if (!this->currentAt || time > *this->currentAt)
        this->currentAt = time;
    this->update();
}

void KeyFreshnessTracker::onStoreAnswered()
{
    this->isRefusedByStore = false;
    this->hasStoreFailed = false;
    this->withoutStoreAt.clear();
    this->update();
}

void KeyFreshnessTracker::onStoreFailed(bool isRefused)
{
    this->isRefusedByStore = isRefused;
    this->hasStoreFailed = true;
    this->update();
}

void KeyFreshnessTracker::setZones(std::set<ZoneId> others)
{
    this->zones = std::move(others);
}

void KeyFreshnessTracker::onZoneWithoutStore(const ZoneId& zone, BootTime at)
{
    std::map<ZoneId, BootTime>::iterator known = this->withoutStoreAt.emplace(zone, at).first;
    known->second = std::max(known->second, at);
    this->update();
}

std::optional<BootTime> KeyFreshnessTracker::findOutage() const
{
    if (!this->hasStoreFailed || this->isRefusedByStore || this->zones.empty())
        return std::nullopt;
    BootTime oldest = BootTime::max();
    for (const ZoneId& zone : this->zones) {
        std::map<ZoneId, BootTime>::const_iterator at = this->withoutStoreAt.find(zone);
        if (at == this->withoutStoreAt.end())
            return std::nullopt;
        oldest = std::min(oldest, at->second);
    }
    return oldest;
}

void KeyFreshnessTracker::update()
{
    if (this->confirmation == nullptr || !this->currentAt)
        return;
    BootTime acceptedUntil = *this->currentAt + keyLifetime + (this->isRefusedByStore ? refusedKeyExtension : std::chrono::milliseconds(0));
    std::optional<BootTime> outage = this->findOutage();
    if (outage)
        acceptedUntil = std::max(acceptedUntil, *outage + keyLifetime);
    this->confirmation->set({ *this->currentAt + currentLifetime, acceptedUntil });
}

} // namespace lentiljunction
