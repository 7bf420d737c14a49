#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/fleet/FleetStore.h"

#include <functional>
#include <optional>
#include <vector>

namespace lentiljunction {

/// Sends promotion calls and tracks those without a response.
///
/// Not thread-safe; the control thread owns it.
class PromotionCalls {
public:
    /// @param isAccepted whether the platform promotes the upstream
    /// @param failure its kind is Conflict when the platform refuses
    using Callback = std::function<void(bool isAccepted, const Failure& failure)>;

    PromotionCalls(FleetStore& store, const Clock& clock, InstanceId self);

    /// Requests the promotion of an upstream.
    ///
    /// @param epoch the fencing token of this instance as the coordinator
    /// @param mayBeSent whether this instance still is the coordinator, asked when the connection for the call is open
    void send(const GroupId& group, const UpstreamId& upstream, FencingToken epoch, std::function<bool()> mayBeSent, Callback callback);

    /// Calls back once no call is pending.
    void runAfterPending(std::function<void()> callback);

    /// @returns whether calls have failed for so long that another instance should take over
    bool areFailing() const;

private:
    void onEnded(bool hasResponse);

    FleetStore& store;
    const Clock& clock;
    InstanceId self;
    std::size_t numPending = 0;
    std::vector<std::function<void()>> endedCallbacks;
    /// When the first of the consecutive calls without a response ended.
    std::optional<TimePoint> failingSince;
};

} // namespace lentiljunction
