#include "lentiljunction/membership/GossipQueue.h"

#include <algorithm>
#include <cmath>

namespace lentiljunction {

namespace {

    constexpr std::size_t leastPerMessage = 6;
    constexpr std::size_t mostPerMessage = 40;
    /// A message carries this fraction of the queue, so that a large burst of changes spreads within a few
    /// seconds.
    constexpr std::size_t backlogDivisor = 4;
    /// A change is repeated this many times the logarithm of the zone's size.
    constexpr double repeatFactor = 3;

} // namespace

void GossipQueue::add(const Member& member, std::size_t zoneSize)
{
    int repeats = static_cast<int>(std::ceil(repeatFactor * std::log2(static_cast<double>(zoneSize) + 2)));
    std::vector<QueuedUpdate>::iterator known = std::find_if(this->gossip.begin(), this->gossip.end(), [&](const QueuedUpdate& queued) { return queued.member.id == member.id; });
    if (known != this->gossip.end())
        *known = { member, repeats };
    else
        this->gossip.push_back({ member, repeats });
}

std::vector<Member> GossipQueue::take()
{
    std::stable_sort(this->gossip.begin(), this->gossip.end(), [](const QueuedUpdate& left, const QueuedUpdate& right) { return left.remaining > right.remaining; });
    std::size_t limit = std::clamp(this->gossip.size() / backlogDivisor, leastPerMessage, mostPerMessage);
    std::vector<Member> changes;
    for (QueuedUpdate& queued : this->gossip) {
        if (changes.size() == limit)
            break;
        changes.push_back(queued.member);
        queued.remaining--;
    }
    this->gossip.erase(std::remove_if(this->gossip.begin(), this->gossip.end(), [](const QueuedUpdate& queued) { return queued.remaining <= 0; }), this->gossip.end());
    return changes;
}

} // namespace lentiljunction
