#pragma once

#include "LineUpstream.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction::standin {

/// What becomes of a promotion call beside its effect after the promotion delay.
struct PromotionFault {
    /// Whether the call is never carried out and gets no response.
    bool isLost = false;
    /// Whether the call and its repetition are kept until PromotionEndpoint::release().
    bool isHeld = false;
    bool isAnswered = true;
    /// The time until the call is carried out, including the check whether the upstream is running.
    Duration carriedOutAfter { 0 };
    /// The time from then to the response.
    Duration answeredAfter { 0 };
    /// The time after which the call is carried out once more. With isHeld, only the repetition is kept. A call that was
    /// answered with a refusal has no effect, so it is not repeated.
    std::optional<Duration> repeatedAfter;

    /// @returns the fault in words
    std::string describe() const;
};

/// The platform's promotion call for one group, with faults.
///
/// onCall() runs on the thread of the loop, the other methods on any thread.
///
/// @see LineGroup::promote()
class PromotionEndpoint {
public:
    /// @param loop must outlive this object, as the group
    PromotionEndpoint(EventLoop& loop, LineGroup& group);

    /// Processes a call.
    ///
    /// @param respond receives the HTTP status of the response, possibly later or never
    void onCall(const std::string& upstream, std::function<void(int status)> respond);

    /// Sets what becomes of later calls.
    void setFault(const PromotionFault& newFault);

    /// Carries out the calls that are held.
    void release();

    /// @returns the upstreams that were called, in order
    std::vector<std::string> listCalled();

private:
    void carryOut(const std::string& upstream, const PromotionFault& present, const std::function<void(int status)>& respond);

    EventLoop& loop;
    LineGroup& group;
    std::mutex mutex;
    PromotionFault fault;
    std::vector<std::string> called;
    std::vector<std::string> held;
};

} // namespace lentiljunction::standin
