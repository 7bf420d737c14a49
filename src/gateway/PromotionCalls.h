#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/fleet/FleetStore.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// Identifies a promotion call.
struct PromotionCall {
    GroupId group;
    UpstreamId upstream;
    /// The fencing token of this instance as the coordinator.
    FencingToken epoch;
    /// PrimaryEntry::generation before the failover.
    std::uint64_t generation = 0;
    /// The number of the failover in this process.
    std::uint64_t run = 0;
};

/// Sends promotion calls and tracks those without a response. Logs each call when it is sent and when it ends, with the
/// same identification.
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
    /// @param mayBeSent whether this instance still is the coordinator, asked when the connection for the call is open
    void send(const PromotionCall& call, std::function<bool()> mayBeSent, Callback callback);

    /// Calls back once no call is pending.
    void runAfterPending(std::function<void()> callback);

    /// @returns whether calls have failed for so long that another instance should take over
    bool areFailing() const;

    /// @returns whether a call for an upstream was sent in a failover
    bool hasSent(const GroupId& group, std::uint64_t run, const UpstreamId& upstream) const;

    /// @returns the number of calls since the start, by outcome
    const std::map<std::string, std::uint64_t>& getNumEnded() const { return this->numEnded; }

private:
    /// A call without an outcome.
    struct Pending {
        PromotionCall call;
        /// The fields that identify the call in the log.
        std::string identification;
        /// When it was sent, or requested while it is not sent.
        TimePoint since;
        bool isSent = false;
    };

    /// The calls that were sent in the latest failover of a group.
    struct SentCalls {
        std::uint64_t run = 0;
        std::map<UpstreamId, int> numSent;
    };

    bool tryBegin(Pending& pending, const std::function<bool()>& mayBeSent);
    void logOutcome(const Pending& pending, bool isAccepted, const Failure& failure);
    void onEnded(bool hasResponse);

    FleetStore& store;
    const Clock& clock;
    InstanceId self;
    std::size_t numPending = 0;
    std::map<GroupId, SentCalls> sentCalls;
    std::map<std::string, std::uint64_t> numEnded;
    std::vector<std::function<void()>> endedCallbacks;
    /// When the first of the consecutive calls without a response ended.
    std::optional<TimePoint> failingSince;
};

} // namespace lentiljunction
