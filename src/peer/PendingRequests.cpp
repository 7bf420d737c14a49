#include "PendingRequests.h"

#include <algorithm>
#include <set>

namespace lentiljunction {

void PendingRequests::add(std::uint64_t number, const std::string& peer, Duration timeout)
{
    TimePoint now = this->clock.now();
    this->requests[number] = { peer, now, now + timeout };
}

std::vector<std::uint64_t> PendingRequests::takeAll(const std::string& peer)
{
    this->receivedAt.erase(peer);
    std::vector<std::uint64_t> taken;
    for (std::map<std::uint64_t, Request>::iterator entry = this->requests.begin(); entry != this->requests.end();) {
        if (entry->second.peer != peer) {
            ++entry;
            continue;
        }
        taken.push_back(entry->first);
        entry = this->requests.erase(entry);
    }
    return taken;
}

PendingRequests::Expiry PendingRequests::expire()
{
    TimePoint now = this->clock.now();
    Expiry expiry;
    // Links whose responses may be delayed by that to an earlier request, which still has time.
    std::set<std::string> busyPeers;
    for (std::map<std::uint64_t, Request>::iterator entry = this->requests.begin(); entry != this->requests.end();) {
        std::map<std::string, TimePoint>::const_iterator received = this->receivedAt.find(entry->second.peer);
        bool isLinkBusy = received != this->receivedAt.end() && received->second > entry->second.sentAt;
        if (entry->second.deadline > now)
            busyPeers.insert(entry->second.peer);
        else if (isLinkBusy || busyPeers.count(entry->second.peer) > 0) {
            expiry.failedRequests.push_back(entry->first);
            entry = this->requests.erase(entry);
            continue;
        } else if (std::find(expiry.lostPeers.begin(), expiry.lostPeers.end(), entry->second.peer) == expiry.lostPeers.end())
            expiry.lostPeers.push_back(entry->second.peer);
        ++entry;
    }
    return expiry;
}

std::optional<TimePoint> PendingRequests::getNextDeadline() const
{
    std::optional<TimePoint> next;
    for (const std::pair<const std::uint64_t, Request>& entry : this->requests)
        next = std::min(next.value_or(TimePoint::max()), entry.second.deadline);
    return next;
}

} // namespace lentiljunction
