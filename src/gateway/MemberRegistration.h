#pragma once

#include "lentiljunction/core/Backoff.h"
#include "lentiljunction/core/Scheduler.h"
#include "lentiljunction/fleet/FleetStore.h"

#include <functional>

namespace lentiljunction {

/// Keeps this instance registered in the store, also after the store was restored from a copy without its entry.
///
/// Reads its entry before it writes and when a write got no response: the entry may be there already, and a store that
/// loses the responses to writes may still answer reads.
///
/// Not thread-safe; the control thread owns it.
class MemberRegistration {
public:
    /// Receives the era of the store in which the instance is registered.
    using Callback = std::function<void(StoreEra era)>;

    /// @param loop must outlive this object, as must `store`
    MemberRegistration(Scheduler& loop, FleetStore& store, FleetMember self, Callback onRegistered);

    /// Registers the instance, and tries again until its entry is in the store.
    void start();

    /// Adds the address at which this instance lends connections, also to an earlier registration.
    void setLending(const Endpoint& lending);

    /// Adds the address at which this instance decides on the limits of workspaces, also to an earlier registration.
    void setQuota(const Endpoint& quota);

    /// Removes the entry of this process for good. A removal that is carried out late does not match the entry of the next
    /// process of the instance, which has another number.
    ///
    /// Call it when the instance uses its lease no more: failovers do not wait for an instance without an entry.
    ///
    /// @param onRemoved called once the store has no entry of this process
    void remove(std::function<void()> onRemoved);

    /// Registers again if the store is in a newer era than at the last registration. Call it after a response of the
    /// store.
    void renewInNewEra();

private:
    void renewAfterChange();
    void read();
    void write();
    void readForRemoval();
    void retryRemoval(const std::string& call, const Failure& failure);
    void retry(const std::string& call, const Failure& failure);
    void onRegisteredIn(StoreEra era);

    Scheduler& loop;
    FleetStore& store;
    FleetMember self;
    Callback onRegistered;
    Backoff retries;
    std::function<void()> onRemoved;
    /// Whether the entry is being removed, or was.
    bool isRemoving = false;
    bool isPending = false;
    /// Whether the registration that is pending lacks an address.
    bool isChanged = false;
    std::optional<StoreEra> registeredIn;
};

} // namespace lentiljunction
