#include "lentiljunction/logbook/FleetReport.h"

#include "lentiljunction/core/LogEvents.h"

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace lentiljunction {

namespace {

    /// Seconds that get a bar of their own in the plot. Later records are counted in the last bar.
    constexpr std::size_t maximumPlotSeconds = 86400;

    /// A failover completes within this time, so suspicions that are further apart belong to different failovers.
    constexpr double suspicionLifetimeSeconds = 5;

    struct Dependency {
        int lostEvent;
        int restoredEvent;
        const char* name;
    };

    constexpr Dependency dependencies[] {
        { events::storeUnavailable.number, events::storeAvailable.number, "store" },
        { events::leaseLost.number, events::leaseRegained.number, "permit" },
        { events::peerLinkLost.number, events::peerLinkOpened.number, "peer " },
        { events::upstreamUnreachable.number, events::upstreamReachable.number, "upstream " },
    };

    std::string renderSeconds(const std::optional<double>& seconds)
    {
        if (!seconds)
            return "not over";
        char text[32];
        std::snprintf(text, sizeof text, "%.3f s", *seconds);
        return text;
    }

    void renderCounts(std::ostream& text, const char* title, const std::map<std::string, std::int64_t>& counts)
    {
        text << title << "\n";
        for (const std::pair<const std::string, std::int64_t>& count : counts)
            text << "  " << count.first << std::string(std::max<std::size_t>(1, 32 - std::min<std::size_t>(31, count.first.size())), ' ') << count.second << "\n";
        if (counts.empty())
            text << "  none\n";
    }

} // namespace

FleetReport FleetReport::build(const LogCollection& collection)
{
    FleetReport report;
    report.numRecords = collection.records.size();
    report.numUnrecognizedLines = collection.numUnrecognizedLines;
    if (!collection.records.empty())
        report.begin = collection.records.front().time;
    for (const LogRecord& record : collection.records)
        report.count(record);
    return report;
}

void FleetReport::count(const LogRecord& record)
{
    this->instances[record.instance]++;
    if (record.event == events::linesOmitted.number)
        this->omittedLines[record.get("of")] += record.getNumber("lines");
    this->countStatement(record);
    this->countChange(record);
    this->countOutage(record);
}

FleetReport::Second& FleetReport::findSecond(WallTime time)
{
    std::size_t index = static_cast<std::size_t>(std::max(0.0, toSeconds(this->begin, time)));
    index = std::min(index, maximumPlotSeconds);
    if (this->seconds.size() <= index)
        this->seconds.resize(index + 1);
    return this->seconds[index];
}

void FleetReport::countStatement(const LogRecord& record)
{
    Second& second = this->findSecond(record.time);
    if (record.event == events::statementServed.number)
        second.numServed++;
    else if (record.event == events::statementRefused.number)
        second.numRefused++;
    else if (record.event == events::statementFailed.number)
        second.numFailed++;
    else
        return;
    this->outcomes[record.get("code")]++;
    if (record.event != events::statementServed.number)
        this->causes[record.get("cause").empty() ? "not named" : record.get("cause")]++;
}

FleetReport::PrimaryChange* FleetReport::findUnfinishedChange(const std::string& group)
{
    for (std::vector<PrimaryChange>::reverse_iterator change = this->changes.rbegin(); change != this->changes.rend(); ++change) {
        if (change->group == group)
            return change->gapSeconds ? nullptr : &*change;
    }
    return nullptr;
}

void FleetReport::recordSuspicion(const std::string& group, double at)
{
    std::map<std::string, Suspicion>::iterator known = this->suspicions.emplace(group, Suspicion { at, at }).first;
    // An older suspicion that led to no promotion does not belong to this failover.
    if (at - known->second.lastAt > suspicionLifetimeSeconds)
        known->second.firstAt = at;
    known->second.lastAt = at;
}

void FleetReport::countChange(const LogRecord& record)
{
    std::string group = record.get("group");
    double at = toSeconds(this->begin, record.time);
    if (record.event == events::primarySuspected.number)
        this->recordSuspicion(group, at);
    if (record.event == events::promotionStarted.number && this->findUnfinishedChange(group) == nullptr) {
        std::map<std::string, Suspicion>::const_iterator suspected = this->suspicions.find(group);
        bool isRecent = suspected != this->suspicions.end() && at - suspected->second.lastAt <= suspicionLifetimeSeconds;
        this->changes.push_back({ group, record.get("primary"), "", record.get("cause"), isRecent ? suspected->second.firstAt : at, std::nullopt });
    }
    if (record.event != events::promotionDone.number)
        return;
    this->suspicions.erase(group);
    if (PrimaryChange* open = this->findUnfinishedChange(group)) {
        open->to = record.get("primary");
        open->gapSeconds = at - open->startSeconds;
    }
}

void FleetReport::countOutage(const LogRecord& record)
{
    double at = toSeconds(this->begin, record.time);
    for (const Dependency& dependency : dependencies) {
        std::string name = dependency.name + record.get("peer") + (std::string(dependency.name) == "upstream " ? record.get("upstream") : "");
        bool isOpen = std::any_of(this->outages.begin(), this->outages.end(), [&](const Outage& outage) { return !outage.seconds && outage.instance == record.instance && outage.dependency == name; });
        // An upstream that stays unreachable is logged repeatedly; count it as one outage.
        if (record.event == dependency.lostEvent && !isOpen)
            this->outages.push_back({ record.instance, name, at, std::nullopt });
        if (record.event != dependency.restoredEvent)
            continue;
        for (Outage& outage : this->outages) {
            if (!outage.seconds && outage.instance == record.instance && outage.dependency == name)
                outage.seconds = at - outage.startSeconds;
        }
    }
}

std::string FleetReport::renderText() const
{
    std::ostringstream text;
    text << this->numRecords << " lines of " << this->instances.size() << " instances, " << this->seconds.size() << " s from " << formatTimeOfDay(this->begin) << "; " << this->numUnrecognizedLines << " other lines\n\n";
    renderCounts(text, "statements by what callers were told (as logged)", this->outcomes);
    renderCounts(text, "statements that did not succeed, by cause", this->causes);
    renderCounts(text, "lines left out, by event", this->omittedLines);
    text << "changes of primary\n";
    for (const PrimaryChange& change : this->changes)
        text << "  at " << renderSeconds(change.startSeconds) << " group " << change.group << ": " << change.from << " -> " << (change.to.empty() ? "?" : change.to) << ", gap " << renderSeconds(change.gapSeconds) << ", " << change.cause << "\n";
    text << (this->changes.empty() ? "  none\n" : "") << "dependencies lost\n";
    for (const Outage& outage : this->outages)
        text << "  at " << renderSeconds(outage.startSeconds) << " " << outage.instance << " lost " << outage.dependency << " for " << renderSeconds(outage.seconds) << "\n";
    text << (this->outages.empty() ? "  none\n" : "");
    return text.str();
}

} // namespace lentiljunction
