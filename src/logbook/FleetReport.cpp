#include "lentiljunction/logbook/FleetReport.h"

#include "lentiljunction/core/LogEvents.h"

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace lentiljunction {

namespace {

    /// Longer logs are cut off in the plot, not in the counts.
    constexpr std::size_t maximumSeconds = 86400;

    /// Seconds; changes of primary are over within this time, so signs of one come closer together.
    constexpr double suspicionLifetime = 5;

    struct Dependency {
        int lost;
        int regained;
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
    report.numOtherLines = collection.numOtherLines;
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
        this->omitted[record.get("of")] += record.getNumber("lines");
    this->countStatement(record);
    this->countChange(record);
    this->countLoss(record);
}

FleetReport::Second& FleetReport::findSecond(WallTime time)
{
    std::size_t index = static_cast<std::size_t>(std::max(0.0, toSeconds(this->begin, time)));
    index = std::min(index, maximumSeconds);
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

FleetReport::PrimaryChange* FleetReport::findOpenChange(const std::string& group)
{
    for (std::vector<PrimaryChange>::reverse_iterator change = this->changes.rbegin(); change != this->changes.rend(); ++change) {
        if (change->group == group)
            return change->gapSeconds ? nullptr : &*change;
    }
    return nullptr;
}

void FleetReport::noteSuspicion(const std::string& group, double at)
{
    std::map<std::string, Suspicion>::iterator known = this->suspicions.emplace(group, Suspicion { at, at }).first;
    // An earlier suspicion that came to nothing is another story.
    if (at - known->second.lastAt > suspicionLifetime)
        known->second.firstAt = at;
    known->second.lastAt = at;
}

void FleetReport::countChange(const LogRecord& record)
{
    std::string group = record.get("group");
    double at = toSeconds(this->begin, record.time);
    if (record.event == events::primarySuspected.number)
        this->noteSuspicion(group, at);
    if (record.event == events::promotionStarted.number && this->findOpenChange(group) == nullptr) {
        std::map<std::string, Suspicion>::const_iterator suspected = this->suspicions.find(group);
        bool isRecent = suspected != this->suspicions.end() && at - suspected->second.lastAt <= suspicionLifetime;
        this->changes.push_back({ group, record.get("primary"), "", record.get("cause"), isRecent ? suspected->second.firstAt : at, std::nullopt });
    }
    if (record.event != events::promotionDone.number)
        return;
    this->suspicions.erase(group);
    if (PrimaryChange* open = this->findOpenChange(group)) {
        open->to = record.get("primary");
        open->gapSeconds = at - open->beganAt;
    }
}

void FleetReport::countLoss(const LogRecord& record)
{
    double at = toSeconds(this->begin, record.time);
    for (const Dependency& dependency : dependencies) {
        std::string name = dependency.name + record.get("peer") + (std::string(dependency.name) == "upstream " ? record.get("upstream") : "");
        bool isOpen = std::any_of(this->losses.begin(), this->losses.end(), [&](const Loss& loss) { return !loss.seconds && loss.instance == record.instance && loss.dependency == name; });
        // An upstream that stays unreachable is found so again and again.
        if (record.event == dependency.lost && !isOpen)
            this->losses.push_back({ record.instance, name, at, std::nullopt });
        if (record.event != dependency.regained)
            continue;
        for (Loss& loss : this->losses) {
            if (!loss.seconds && loss.instance == record.instance && loss.dependency == name)
                loss.seconds = at - loss.beganAt;
        }
    }
}

std::string FleetReport::renderText() const
{
    std::ostringstream text;
    text << this->numRecords << " lines of " << this->instances.size() << " instances, " << this->seconds.size() << " s from " << formatTimeOfDay(this->begin) << "; " << this->numOtherLines << " other lines\n\n";
    renderCounts(text, "statements by what callers were told (as logged)", this->outcomes);
    renderCounts(text, "statements that did not succeed, by cause", this->causes);
    renderCounts(text, "lines left out, by event", this->omitted);
    text << "changes of primary\n";
    for (const PrimaryChange& change : this->changes)
        text << "  at " << renderSeconds(change.beganAt) << " group " << change.group << ": " << change.from << " -> " << (change.to.empty() ? "?" : change.to) << ", gap " << renderSeconds(change.gapSeconds) << ", " << change.cause << "\n";
    text << (this->changes.empty() ? "  none\n" : "") << "dependencies lost\n";
    for (const Loss& loss : this->losses)
        text << "  at " << renderSeconds(loss.beganAt) << " " << loss.instance << " lost " << loss.dependency << " for " << renderSeconds(loss.seconds) << "\n";
    text << (this->losses.empty() ? "  none\n" : "");
    return text.str();
}

} // namespace lentiljunction
