#include "lentiljunction/membership/GossipQueue.h"

#include <algorithm>
#include <cmath>

namespace lentiljunction {

namespace {

    constexpr std::size_t leastPerMessage = 6;
    constexpr std::size_t mostPerMessage = 40;
    /// A message carries this share of what waits, so that a storm of changes passes in a few seconds.
    constexpr std::size_t backlogDivisor = 4;
    /// A change is repeated this many times the logarithm of the zone's size.
    constexpr double repeatFactor = 3;

} // namespace

void GossipQueue::add(const Member& member, std::size_t zoneSize)
{
    int repeats = static_cast<int>(std::ceil(repeatFactor * std::log2(static_cast<double>(zoneSize) + 2)));
    std::vector<Rumour>::iterator known = std::find_if(this->rumours.begin(), this->rumours.end(), [&](const Rumour& rumour) { return rumour.member.id == member.id; });
    if (known != this->rumours.end())
        *known = { member, repeats };
    else
        this->rumours.push_back({ member, repeats });
}

std::vector<Member> GossipQueue::take()
{
    std::stable_sort(this->rumours.begin(), this->rumours.end(), [](const Rumour& left, const Rumour& right) { return left.remaining > right.remaining; });
    std::size_t limit = std::clamp(this->rumours.size() / backlogDivisor, leastPerMessage, mostPerMessage);
    std::vector<Member> changes;
    for (Rumour& rumour : this->rumours) {
        if (changes.size() == limit)
            break;
        changes.push_back(rumour.member);
        rumour.remaining--;
    }
    this->rumours.erase(std::remove_if(this->rumours.begin(), this->rumours.end(), [](const Rumour& rumour) { return rumour.remaining <= 0; }), this->rumours.end());
    return changes;
}

} // namespace lentiljunction
