#pragma once

#include "lentiljunction/core/Ids.h"
#include "lentiljunction/routes/RouteConfirmation.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace lentiljunction {

/// Decides how long an instance may rely on its routing configuration for decisions on keys.
///
/// A removed key must no longer be accepted 5 s after the store acknowledged its removal, and 15 s later at an instance
/// whose calls the store refuses. So keys are accepted only for a time after it was confirmed that no newer
/// configuration existed. While the store answers no instance at all, no removal is acknowledged: keys are accepted for
/// as long as instances of every availability zone keep reporting that.
///
/// Not thread-safe; the control thread owns it.
///
/// @see RouteConfirmation, checkKey
class KeyFreshnessTracker {
public:
    /// A configuration came into force. What was confirmed before also holds for it, because it is newer.
    ///
    /// @returns the confirmation of that configuration; the former one is no longer updated
    std::shared_ptr<const RouteConfirmation> onTableInForce();

    /// Records that no configuration newer than the one in force existed at a time. It must be a lower bound: the time at
    /// which the call or request was sent.
    void onCurrentAt(BootTime time);

    /// The store answered a call of this instance.
    void onStoreAnswered();

    /// A call to the store failed.
    ///
    /// @param isRefused whether the store responded
    void onStoreFailed(bool isRefused);

    /// Sets the zones in which other instances run.
    void setZones(std::set<ZoneId> others);

    /// Another instance of a zone reported that it has no contact with the store.
    ///
    /// @param at when the request was sent
    void onZoneWithoutStore(const ZoneId& zone, BootTime at);

    /// @returns the confirmation of the configuration in force, or nullptr before the first
    std::shared_ptr<const RouteConfirmation> getConfirmation() const { return this->confirmation; }

private:
    void update();
    /// @returns a time at which no zone had contact with the store, or nothing
    std::optional<BootTime> findOutage() const;

    std::shared_ptr<RouteConfirmation> confirmation;
    std::optional<BootTime> currentAt;
    bool isRefusedByStore = false;
    bool hasStoreFailed = false;
    std::set<ZoneId> zones;
    std::map<ZoneId, BootTime> withoutStoreAt;
};

} // namespace lentiljunction
