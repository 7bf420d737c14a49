#pragma once

#include "lentiljunction/core/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// The requests to other instances that have no response yet, and which links are given up because of them.
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

    /// A response arrived, or the request is given up.
    void remove(std::uint64_t number) { this->requests.erase(number); }

    /// @returns the requests on a link, which are removed
    std::vector<std::uint64_t> takeAll(const std::string& peer);

    /// @returns the requests and links whose time is over; the requests that fail are removed
    Expiry expire();

    /// @returns when expire() must be called next, or nothing
    std::optional<TimePoint> getNextDeadline() const;

private:
    struct Request {
        std::string peer;
        TimePoint deadline;
    };

    const Clock& clock;
    std::map<std::uint64_t, Request> requests;
};

} // namespace lentiljunction
