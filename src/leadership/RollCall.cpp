#include "lentiljunction/leadership/RollCall.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// Several requests in a row.
    constexpr std::chrono::milliseconds silenceLimit { 2500 };
    /// Older silences do not count. Covers two intervals between requests.
    constexpr std::chrono::milliseconds silenceLifetime { 2500 };
    /// How long none is listed after one has returned.
    constexpr std::chrono::seconds returnLifetime { 60 };
    /// The instances that are listed first. All instances of a small fleet.
    constexpr std::size_t maximumFirst = 8;
    /// Time for the first ones to return before the others are listed. Instances that reach the store read the record every
    /// 0.4 s.
    constexpr std::chrono::milliseconds firstReturnTime { 2500 };

} // namespace

void RollCall::onAsked(const InstanceId& instance, bool hasResponded, TimePoint now)
{
    if (hasResponded) {
        this->silences.erase(instance);
        return;
    }
    Silence& silence = this->silences.emplace(instance, Silence { now, now }).first->second;
    if (now - silence.lastAskedAt > silenceLifetime)
        silence.since = now;
    silence.lastAskedAt = now;
}

void RollCall::onRecord(const std::set<InstanceId>& absent, TimePoint now)
{
    // Whoever listed it, an instance that is silent here and has returned shows that this instance is cut off.
    bool hasReturned = std::any_of(this->lastAbsent.begin(), this->lastAbsent.end(), [&](const InstanceId& instance) { return absent.count(instance) == 0 && this->silences.count(instance) > 0; });
    this->lastAbsent = absent;
    if (!hasReturned)
        return;
    this->returnedAt = now;
    this->firstListedAt.reset();
    this->listed.clear();
}

std::vector<InstanceId> RollCall::listSilent(const InstanceId& coordinator, TimePoint now) const
{
    std::vector<InstanceId> silent;
    bool isCutOff = this->returnedAt && now - *this->returnedAt < returnLifetime;
    bool isAwaitingFirst = this->firstListedAt && now - *this->firstListedAt < firstReturnTime;
    if (isCutOff || isAwaitingFirst)
        return silent;
    for (const std::pair<const InstanceId, Silence>& silence : this->silences) {
        bool isSilent = now - silence.second.since >= silenceLimit && now - silence.second.lastAskedAt <= silenceLifetime;
        if (isSilent && this->listed.count(silence.first) == 0)
            silent.push_back(silence.first);
    }
    std::stable_partition(silent.begin(), silent.end(), [&coordinator](const InstanceId& instance) { return instance == coordinator; });
    if (!this->firstListedAt && silent.size() > maximumFirst)
        silent.resize(maximumFirst);
    return silent;
}

void RollCall::onListed(const std::vector<InstanceId>& instances, TimePoint now)
{
    this->listed.insert(instances.begin(), instances.end());
    if (!this->firstListedAt)
        this->firstListedAt = now;
}

} // namespace lentiljunction
