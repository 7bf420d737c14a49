#include "lentiljunction/logbook/RequestHistory.h"

#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/interactive/FailureCause.h"

#include <algorithm>
#include <cstdio>
#include <set>
#include <sstream>

namespace lentiljunction {

namespace {

    /// A failover takes up to 5 s, and its first events precede the requests that fail because of it.
    constexpr double contextSecondsBefore = 5;
    constexpr double contextSecondsAfter = 2;

    /// @returns which part of the instance's known state an event changes, or an empty string
    std::string findStateSubject(const LogRecord& record, const LogRecord& step)
    {
        switch (record.event) {
        case events::routesInForce.number:
            return "routes";
        case events::primaryRecordUpdated.number:
            return "lead";
        case events::leaseLost.number:
        case events::leaseRegained.number:
            return "permit";
        case events::storeUnavailable.number:
        case events::storeAvailable.number:
            return "store";
        case events::upstreamListed.number:
        case events::upstreamUnreachable.number:
        case events::upstreamReachable.number:
        case events::upstreamLeaving.number:
            return !step.get("upstream").empty() && record.get("upstream") == step.get("upstream") ? "upstream" : "";
        default:
            return "";
        }
    }

    bool isFailoverEventOf(const LogRecord& record, const std::string& group)
    {
        static const std::set<int> changes { events::primarySuspected.number, events::promotionStarted.number, events::promotionDone.number, events::promotionFailed.number, events::failoverStep.number, events::failoverAbandoned.number };
        return !group.empty() && record.get("group") == group && changes.count(record.event) > 0;
    }

    std::string renderFields(const LogRecord& record, const std::set<std::string>& omittedKeys)
    {
        std::string text;
        for (const std::pair<const std::string, std::string>& field : record.fields) {
            if (omittedKeys.count(field.first) == 0 && !field.second.empty())
                text += " " + field.first + "=" + (field.second.find(' ') == std::string::npos ? field.second : "\"" + field.second + "\"");
        }
        return text;
    }

    std::vector<RequestHistory::KnownState> findKnownStates(const std::vector<LogRecord>& records, const LogRecord& step)
    {
        std::map<std::string, RequestHistory::KnownState> newest;
        for (const LogRecord& record : records) {
            if (record.time > step.time)
                break;
            std::string subject = record.instance == step.instance ? findStateSubject(record, step) : "";
            if (!subject.empty())
                newest[subject] = { subject, record, toSeconds(record.time, step.time) };
        }
        std::vector<RequestHistory::KnownState> knownStates;
        for (const std::pair<const std::string, RequestHistory::KnownState>& knownState : newest)
            knownStates.push_back(knownState.second);
        return knownStates;
    }

    std::vector<LogRecord> findGroupEvents(const std::vector<LogRecord>& records, const LogRecord& step)
    {
        std::vector<LogRecord> found;
        for (const LogRecord& record : records) {
            double offset = toSeconds(step.time, record.time);
            if (offset >= -contextSecondsBefore && offset <= contextSecondsAfter && isFailoverEventOf(record, step.get("group")))
                found.push_back(record);
        }
        return found;
    }

    std::string renderOffset(double seconds)
    {
        char text[32];
        std::snprintf(text, sizeof text, "%+.3f s", seconds);
        return text;
    }

    std::string renderStep(const RequestHistory::Step& step)
    {
        std::ostringstream text;
        text << formatTimeOfDay(step.record.time) << "  " << step.record.instance << "  " << step.record.name << renderFields(step.record, { "id" }) << "\n";
        for (const RequestHistory::KnownState& knownState : step.knownStates)
            text << "    believed, " << knownState.subject << " (" << renderOffset(-knownState.ageSeconds) << "): " << knownState.record.name << renderFields(knownState.record, { "groups" }) << "\n";
        for (const LogRecord& record : step.groupEvents)
            text << "    meanwhile (" << renderOffset(toSeconds(step.record.time, record.time)) << "): " << record.instance << " " << record.name << renderFields(record, { "group" }) << "\n";
        return text.str();
    }

    bool isFailure(const LogRecord& record)
    {
        return record.event == events::statementRefused.number || record.event == events::statementFailed.number;
    }

} // namespace

RequestHistory RequestHistory::build(const LogCollection& collection, const std::string& id)
{
    RequestHistory history;
    history.id = id;
    for (const LogRecord& record : collection.records) {
        if (record.get("id") == id)
            history.steps.push_back({ record, findKnownStates(collection.records, record), findGroupEvents(collection.records, record) });
    }
    if (history.steps.empty())
        return history;
    WallTime begin = history.steps.front().record.time;
    WallTime end = history.steps.back().record.time;
    for (const LogRecord& record : collection.records) {
        bool isNearRequest = toSeconds(begin, record.time) >= -1 && toSeconds(end, record.time) <= contextSecondsAfter;
        if (record.event == events::linesOmitted.number && isNearRequest)
            history.numOmittedLines += record.getNumber("lines");
    }
    return history;
}

std::string RequestHistory::render() const
{
    if (this->steps.empty())
        return "no line names the request " + this->id + "\n";
    std::ostringstream text;
    text << "request " << this->id << ", " << this->steps.size() << " lines\n";
    for (const Step& step : this->steps)
        text << renderStep(step);
    const LogRecord& last = this->steps.back().record;
    if (isFailure(last)) {
        FailureCause trouble = parseFailureCause(last.get("cause").c_str());
        text << "outcome: " << last.get("code") << ", because " << last.get("reason") << "\n";
        text << "look next: " << adviseOperator(trouble) << "\n";
    } else {
        text << "outcome: " << last.name << "\n";
    }
    if (this->numOmittedLines > 0)
        text << "note: the instances left " << this->numOmittedLines << " lines out around that time; metrics count them\n";
    return text.str();
}

} // namespace lentiljunction
