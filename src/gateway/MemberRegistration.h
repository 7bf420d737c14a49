#pragma once

#include "lentiljunction/core/Backoff.h"
#include "lentiljunction/core/EventLoop.h"
#include "lentiljunction/fleet/FleetStore.h"

#include <functional>

namespace lentiljunction {

/// Keeps this instance registered in the store, also after the store was restored from a copy without its entry.
///
/// Not thread-safe; the control thread owns it.
class MemberRegistration {
public:
    /// Receives the era of the store in which the instance is registered.
    using Callback = std::function<void(StoreEra era)>;

    /// @param loop must outlive this object, as must `store`
    MemberRegistration(EventLoop& loop, FleetStore& store, FleetMember self, Callback onRegistered);

    /// Registers the instance, and tries again until the store accepts it.
    void start();

    /// Registers again if the store is in a newer era than at the last registration. Call it after a response of the
    /// store.
    void renewInNewEra();

private:
    EventLoop& loop;
    FleetStore& store;
    FleetMember self;
    Callback onRegistered;
    Backoff retries;
    bool isPending = false;
    std::optional<StoreEra> registeredIn;
};

} // namespace lentiljunction
