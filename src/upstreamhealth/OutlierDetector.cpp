#include "lentiljunction/upstreamhealth/OutlierDetector.h"

#include <algorithm>
#include <numeric>

namespace lentiljunction {

namespace {

    constexpr std::chrono::milliseconds windowLength { 2000 };
    /// Bounds the memory for a busy upstream; the newest results count.
    constexpr std::size_t maximumWindow = 200;
    /// A lender sees about seven statements per second of one upstream in the fleets with the most instances, so
    /// five samples arrive in less than a second there.
    constexpr std::size_t minimumSamples = 5;
    constexpr std::size_t minimumFailures = 3;
    /// Below this share of failures retries suffice.
    constexpr double minimumFailureShare = 0.2;
    /// Statements that are wrong themselves fail on every member alike.
    constexpr double groupMultiple = 2;
    constexpr std::chrono::milliseconds shortestEjection { 500 };
    constexpr std::chrono::milliseconds longestEjection { 4000 };
    /// An upstream that served for this long after an ejection starts again with the shortest one.
    constexpr std::chrono::seconds forgetAfter { 30 };
    /// An upstream that fails a third of its statements passes this many probes with a probability of 13%.
    constexpr int probesToRestore = 5;
    /// A lost probe does not keep the upstream ejected.
    constexpr std::chrono::milliseconds probeTimeout { 1000 };
    /// A queue of 32 before 4 slots makes a statement wait for 8 others; the shortest kind takes 6 ms.
    constexpr std::chrono::milliseconds fullQueueLatency { 40 };
    /// So many refusals without a success do not come from a full queue, which still accepts as many statements as
    /// it finishes.
    constexpr std::size_t refusalsOfNoQueue = 8;

    bool isFailure(UpstreamResult result)
    {
        return result != UpstreamResult::Success && result != UpstreamResult::Shed;
    }

} // namespace

OutlierDetector::Change OutlierDetector::onResult(const Sample& sample, const std::vector<UpstreamId>& members)
{
    TimePoint now = this->clock.now();
    Record& record = this->upstreams[sample.upstream];
    if (record.isEjected)
        return this->onProbeResult(record, sample);
    record.window.push_back({ sample.result, std::chrono::duration_cast<Duration>(now - sample.startedAt), now });
    while (record.window.size() > maximumWindow || now - record.window.front().at > windowLength)
        record.window.pop_front();
    if (sample.result == UpstreamResult::Success || !this->isOutlier(sample.upstream, members) || !this->mayEject(sample.upstream, members))
        return Change::None;
    record.isEjectedForRefusals = sample.result == UpstreamResult::Shed;
    this->eject(record);
    return Change::Ejected;
}

OutlierDetector::Change OutlierDetector::onProbeResult(Record& record, const Sample& sample)
{
    // Statements sent before or during the ejection say nothing about the upstream after it.
    if (sample.startedAt < record.ejectedUntil)
        return Change::None;
    record.probeStartedAt.reset();
    // Load explains a refusal, unless the upstream was ejected because load did not.
    if (sample.result == UpstreamResult::Shed && !record.isEjectedForRefusals)
        return Change::None;
    if (sample.result != UpstreamResult::Success) {
        this->eject(record);
        return Change::None;
    }
    if (++record.numProbeSuccesses < probesToRestore)
        return Change::None;
    record.isEjected = false;
    record.restoredAt = this->clock.now();
    return Change::Restored;
}

void OutlierDetector::eject(Record& record)
{
    TimePoint now = this->clock.now();
    bool isRepeated = record.isEjected || (record.ejectionTime > Duration(0) && now - record.restoredAt < forgetAfter);
    record.ejectionTime = isRepeated ? std::min<Duration>(record.ejectionTime * 2, longestEjection) : Duration(shortestEjection);
    record.isEjected = true;
    record.ejectedUntil = now + record.ejectionTime;
    record.probeStartedAt.reset();
    record.numProbeSuccesses = 0;
    record.window.clear();
}

void OutlierDetector::onStarted(const UpstreamId& upstream)
{
    std::map<UpstreamId, Record>::iterator found = this->upstreams.find(upstream);
    if (found != this->upstreams.end() && found->second.isEjected && this->clock.now() >= found->second.ejectedUntil)
        found->second.probeStartedAt = this->clock.now();
}

Duration OutlierDetector::getAvoidedFor(const UpstreamId& upstream) const
{
    std::map<UpstreamId, Record>::const_iterator found = this->upstreams.find(upstream);
    if (found == this->upstreams.end() || !found->second.isEjected)
        return Duration(0);
    TimePoint until = found->second.ejectedUntil;
    if (found->second.probeStartedAt)
        until = std::max<TimePoint>(until, *found->second.probeStartedAt + probeTimeout);
    return std::max(Duration(0), std::chrono::duration_cast<Duration>(until - this->clock.now()));
}

bool OutlierDetector::isEjected(const UpstreamId& upstream) const
{
    std::map<UpstreamId, Record>::const_iterator found = this->upstreams.find(upstream);
    return found != this->upstreams.end() && found->second.isEjected;
}

Duration OutlierDetector::getEjectionTime(const UpstreamId& upstream) const
{
    std::map<UpstreamId, Record>::const_iterator found = this->upstreams.find(upstream);
    return found == this->upstreams.end() || !found->second.isEjected ? Duration(0) : found->second.ejectionTime;
}

OutlierDetector::Counts OutlierDetector::count(const Record& record) const
{
    Counts counts;
    std::size_t numShed = 0;
    Duration successTime { 0 };
    TimePoint now = this->clock.now();
    for (const Entry& entry : record.window) {
        if (now - entry.at > windowLength)
            continue;
        counts.numSamples++;
        counts.numFailures += isFailure(entry.result) ? 1 : 0;
        numShed += entry.result == UpstreamResult::Shed ? 1 : 0;
        if (entry.result == UpstreamResult::Success)
            successTime += entry.latency;
    }
    std::size_t numSuccesses = counts.numSamples - counts.numFailures - numShed;
    bool isQueueFull = numSuccesses > 0 ? successTime >= fullQueueLatency * numSuccesses : numShed < refusalsOfNoQueue;
    if (isQueueFull)
        counts.numSamples -= numShed;
    else
        counts.numFailures += numShed;
    return counts;
}

bool OutlierDetector::isOutlier(const UpstreamId& upstream, const std::vector<UpstreamId>& members) const
{
    Counts own = this->count(this->upstreams.at(upstream));
    if (own.numSamples < minimumSamples || own.numFailures < minimumFailures || own.getFailureShare() < minimumFailureShare)
        return false;
    Counts others;
    for (const UpstreamId& member : members) {
        std::map<UpstreamId, Record>::const_iterator found = this->upstreams.find(member);
        if (member == upstream || found == this->upstreams.end() || found->second.isEjected)
            continue;
        Counts counts = this->count(found->second);
        others.numSamples += counts.numSamples;
        others.numFailures += counts.numFailures;
    }
    return others.numSamples < minimumFailures || own.getFailureShare() >= groupMultiple * others.getFailureShare();
}

bool OutlierDetector::mayEject(const UpstreamId& upstream, const std::vector<UpstreamId>& members) const
{
    return std::any_of(members.begin(), members.end(), [&](const UpstreamId& member) { return member != upstream && !this->isEjected(member); });
}

const char* toString(UpstreamResult result)
{
    switch (result) {
    case UpstreamResult::Success:
        return "success";
    case UpstreamResult::Error:
        return "error";
    case UpstreamResult::NoAnswer:
        return "no_answer";
    case UpstreamResult::Reset:
        return "reset";
    case UpstreamResult::Shed:
        return "shed";
    case UpstreamResult::NotOpened:
        return "not_opened";
    }
    return "unknown";
}

} // namespace lentiljunction
