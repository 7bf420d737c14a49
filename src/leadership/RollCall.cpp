#include "lentiljunction/leadership/RollCall.h"

namespace lentiljunction {

namespace {

    /// Several requests in a row.
    constexpr std::chrono::milliseconds silenceLimit { 2500 };
    /// Older silences do not count. Covers two intervals between requests.
    constexpr std::chrono::milliseconds silenceLifetime { 2500 };
    /// Each call makes all that are listed write to the record.
    constexpr std::chrono::seconds returnLifetime { 60 };

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
    for (std::set<InstanceId>::iterator instance = this->listed.begin(); instance != this->listed.end();) {
        if (absent.count(*instance) > 0) {
            ++instance;
            continue;
        }
        this->returnedAt[*instance] = now;
        instance = this->listed.erase(instance);
    }
}

std::vector<InstanceId> RollCall::listSilent(TimePoint now) const
{
    std::vector<InstanceId> silent;
    for (const std::pair<const InstanceId, Silence>& silence : this->silences) {
        std::map<InstanceId, TimePoint>::const_iterator returned = this->returnedAt.find(silence.first);
        bool hasReturned = returned != this->returnedAt.end() && now - returned->second < returnLifetime;
        bool isSilent = now - silence.second.since >= silenceLimit && now - silence.second.lastAskedAt <= silenceLifetime;
        if (isSilent && !hasReturned)
            silent.push_back(silence.first);
    }
    return silent;
}

} // namespace lentiljunction
