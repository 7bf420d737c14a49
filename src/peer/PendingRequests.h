#pragma once

#include "lentiljunction/core/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// The requests to other instances that have no response yet, and which links are given up because of them: those on which
/// nothing was received since the request was sent.
///
/// Decides without sockets and timers. Not thread-safe.
///
/// @see PeerRpc
class PendingRequests {
public:
    /// What follows from requests that got no response in time.
    struct Expiry {
        /// Links that are dropped, which fails all requests on them.
        std::vector<std::string> lostPeers;
        /// Requests that fail on links that are kept.
        std::vector<std::uint64_t> failedRequests;
    };

    explicit PendingRequests(const Clock& clock)
        : clock(clock)
    {
    }

    /// A request was sent.
    ///
    /// @param peer the key of its link
    void add(std::uint64_t number, const std::string& peer, Duration timeout);

    /// A response arrived in time.
    void onResponse(std::uint64_t number) { this->requests.erase(number); }

    /// Something was received on a link, perhaps a response that is late.
    void onReceived(const std::string& peer) { this->receivedAt[peer] = this->clock.now(); }

    /// @returns the requests on a link, which are removed
    std::vector<std::uint64_t> takeAll(const std::string& peer);

    /// @returns the requests and links whose time is over; the requests that fail are removed
    Expiry expire();

    /// @returns when expire() must be called next, or nothing
    std::optional<TimePoint> getNextDeadline() const;

private:
    struct Request {
        std::string peer;
        TimePoint sentAt;
        TimePoint deadline;
    };

    const Clock& clock;
    std::map<std::uint64_t, Request> requests;
    /// When something was received last on each link.
    std::map<std::string, TimePoint> receivedAt;
};

} // namespace lentiljunction
