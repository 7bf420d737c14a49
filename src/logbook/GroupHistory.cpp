#include "lentiljunction/logbook/GroupHistory.h"

#include "lentiljunction/core/Json.h"
#include "lentiljunction/core/LogEvents.h"

#include <algorithm>
#include <cstdio>
#include <optional>
#include <set>
#include <sstream>
#include <tuple>

namespace lentiljunction {

namespace {

    /// The group's entry in the primary record, as an instance logged it.
    struct LoggedEntry {
        bool isChanging = false;
        std::string primary;
        std::int64_t generation = 0;
        std::string term;
        /// The recorded calls: "UPSTREAM epoch=E generation=G".
        std::set<std::string> calls;
    };

    std::string getText(const nlohmann::json& object, const char* name)
    {
        if (!object.is_object() || !object.contains(name))
            return "";
        return object[name].is_string() ? object[name].get<std::string>() : toJsonText(object[name]);
    }

    std::int64_t getInteger(const nlohmann::json& object, const char* name)
    {
        bool isInteger = object.is_object() && object.contains(name) && object[name].is_number_integer();
        return isInteger ? object[name].get<std::int64_t>() : 0;
    }

    std::optional<LoggedEntry> parseEntry(const LogRecord& record, const std::string& group)
    {
        nlohmann::json groups = parseJson(record.get("groups"));
        if (!groups.is_object() || !groups.contains(group) || !groups[group].is_object())
            return std::nullopt;
        const nlohmann::json& object = groups[group];
        LoggedEntry entry { getText(object, "phase") == "changing", getText(object, "primary"), getInteger(object, "generation"), getText(object, "term"), {} };
        if (!object.contains("open_promotions") || !object["open_promotions"].is_array())
            return entry;
        for (const nlohmann::json& call : object["open_promotions"])
            entry.calls.insert(getText(call, "upstream") + " epoch=" + getText(call, "epoch") + " generation=" + getText(call, "generation"));
        return entry;
    }

    /// Identifies a call in its two lines.
    using CallKey = std::tuple<std::string, std::string, std::string, std::string, std::string, std::string>;

    CallKey makeCallKey(const LogRecord& record)
    {
        return { record.instance, record.get("upstream"), record.get("epoch"), record.get("generation"), record.get("run"), record.get("attempt") };
    }

    std::string describeCall(const LogRecord& record)
    {
        return record.get("upstream") + " epoch=" + record.get("epoch") + " generation=" + record.get("generation") + " run=" + record.get("run") + " attempt=" + record.get("attempt");
    }

    /// @returns what a step of a failover says, or nothing for other events
    std::string describeStep(const LogRecord& record)
    {
        std::string generation = " of generation " + record.get("generation");
        switch (record.event) {
        case events::promotionStarted.number:
            return "failover started: of " + record.get("primary") + ", because " + record.get("cause");
        case events::failoverAbandoned.number:
            return "failover abandoned: " + record.get("reason");
        case events::promotionDone.number:
            return "took effect: " + record.get("primary") + " leads term " + record.get("term");
        case events::promotionCallSent.number:
            return "call sent: " + describeCall(record);
        case events::promotionCallEnded.number:
            return "call ended: " + describeCall(record) + ": " + record.get("outcome") + " after " + record.get("took_ms") + " ms" + (record.get("reason").empty() ? "" : ", " + record.get("reason"));
        case events::promotionCallInherited.number:
            return "call inherited: " + record.get("upstream") + " epoch=" + record.get("epoch") + " generation=" + record.get("generation") + ", now generation=" + record.get("present_generation");
        case events::primaryReplaceable.number:
            return "replaceable: " + record.get("primary") + generation + ", calls " + record.get("calls");
        case events::primarySettled.number:
            return "settled: " + record.get("primary") + generation;
        default:
            return "";
        }
    }

    std::string formatSeconds(double seconds)
    {
        char text[32];
        std::snprintf(text, sizeof text, "%.3f s", seconds);
        return text;
    }

} // namespace

/// Builds the history in two passes, because an instance may log an acknowledgement before another one logs what contradicts it.
class GroupHistory::Builder {
public:
    Builder(GroupHistory& history, const LogCollection& collection)
        : history(history)
        , collection(collection)
    {
    }

    void build()
    {
        for (const LogRecord& record : this->collection.records) {
            if (record.event == events::primaryRecordUpdated.number)
                this->collectPublished(record);
            if (record.event == events::promotionCallEnded.number && this->isOfGroup(record))
                this->ended[makeCallKey(record)].push_back(&record);
        }
        for (const LogRecord& record : this->collection.records)
            this->add(record);
    }

private:
    using Revision = std::pair<std::int64_t, std::int64_t>;

    bool isOfGroup(const LogRecord& record) const { return record.get("group") == this->history.group; }

    void addLine(const LogRecord& record, const std::string& text) { this->history.lines.push_back({ record.time, record.instance, text, false }); }

    void addWarning(const LogRecord& record, const std::string& text) { this->history.lines.push_back({ record.time, record.instance, text, true }); }

    void collectPublished(const LogRecord& record)
    {
        std::optional<LoggedEntry> entry = parseEntry(record, this->history.group);
        if (entry && !entry->isChanging)
            this->published[entry->generation].insert(entry->primary);
    }

    void add(const LogRecord& record)
    {
        if (record.event == events::primaryRecordUpdated.number)
            return this->addRecordUpdate(record);
        if (record.event == events::linesOmitted.number && record.get("of") == events::statementServed.name)
            this->history.numOmittedLines += record.getNumber("lines");
        if (!this->isOfGroup(record))
            return;
        if (record.event == events::promotionUnrequested.number)
            return this->addEffect(record);
        if (record.event == events::statementServed.number)
            return this->addAcknowledgement(record);
        std::string text = describeStep(record);
        if (record.event == events::promotionCallSent.number)
            text += this->describeOutcome(record);
        if (record.event == events::promotionCallSent.number)
            this->calledAt.emplace(record.getNumber("generation"), record.time);
        if (!text.empty())
            this->addLine(record, text);
    }

    void addRecordUpdate(const LogRecord& record)
    {
        std::optional<LoggedEntry> entry = parseEntry(record, this->history.group);
        Revision revision(record.getNumber("store_era"), record.getNumber("lead_revision"));
        // Each instance logs each revision; the first line of it is shown.
        if (!entry || (this->newest && revision <= *this->newest))
            return;
        std::string suffix = ", revision " + record.get("lead_revision");
        bool isNew = !this->newest || this->known.generation != entry->generation;
        if (entry->isChanging && (isNew || !this->known.isChanging))
            this->addLine(record, "announced: " + entry->primary + " of generation " + std::to_string(entry->generation) + " is replaced" + suffix);
        for (const std::string& call : entry->calls) {
            if (this->known.calls.count(call) == 0)
                this->addLine(record, "recorded call: " + call + suffix);
        }
        for (const std::string& call : this->known.calls) {
            if (entry->calls.count(call) == 0)
                this->addLine(record, "removed call: " + call + suffix);
        }
        if (!entry->isChanging && (isNew || this->known.isChanging))
            this->addPublication(record, *entry, suffix);
        this->newest = revision;
        this->known = *entry;
    }

    void addPublication(const LogRecord& record, const LoggedEntry& entry, const std::string& suffix)
    {
        this->addLine(record, "published: " + entry.primary + " is the primary of generation " + std::to_string(entry.generation) + ", term " + entry.term + suffix);
        if (this->published[entry.generation].size() > 1)
            this->addWarning(record, "generation " + std::to_string(entry.generation) + " names more than one primary");
        this->publishedAt.emplace(entry.generation, record.time);
    }

    void addEffect(const LogRecord& record)
    {
        std::int64_t generation = record.getNumber("generation");
        std::string source = record.get("run").empty() ? ", seen by a verification" : ", not called in this failover";
        this->addLine(record, "took effect: " + record.get("upstream") + " leads term " + record.get("term") + source + "; the record names " + record.get("primary") + " of generation " + std::to_string(generation));
        this->effects.emplace(generation, &record);
    }

    std::string describeOutcome(const LogRecord& sent) const
    {
        std::map<CallKey, std::vector<const LogRecord*>>::const_iterator found = this->ended.find(makeCallKey(sent));
        if (found != this->ended.end()) {
            for (const LogRecord* outcome : found->second) {
                if (outcome->time >= sent.time)
                    return outcome->get("outcome") == "no_response" ? " (in doubt: no response)" : "";
            }
        }
        return " (in doubt: no outcome in the logs)";
    }

    void addAcknowledgement(const LogRecord& record)
    {
        std::string basis = record.get("basis");
        bool isPrimary = basis == "lease" || basis == "verification" || (basis == "none" && record.getNumber("acknowledged_write") != 0);
        if (!isPrimary)
            return;
        std::int64_t generation = record.getNumber("generation");
        std::string upstream = record.get("upstream");
        this->history.numAcknowledged[{ generation, { upstream, basis } }]++;
        std::string fault = this->findFault(record, generation, upstream);
        if (!fault.empty())
            this->addWarning(record, "acknowledged " + record.get("id") + " at " + upstream + " basis=" + basis + " generation=" + std::to_string(generation) + " basis_revision=" + record.get("basis_revision") + ": " + fault);
    }

    std::string findFault(const LogRecord& record, std::int64_t generation, const std::string& upstream) const
    {
        std::map<std::int64_t, std::set<std::string>>::const_iterator primaries = this->published.find(generation);
        if (primaries != this->published.end() && primaries->second.count(upstream) == 0)
            return "the published primary of this generation is " + *primaries->second.begin();
        std::map<std::int64_t, const LogRecord*>::const_iterator effect = this->effects.find(generation);
        if (effect != this->effects.end() && effect->second->get("upstream") != upstream)
            return effect->second->get("upstream") + " led a newer term " + formatSeconds(toSeconds(effect->second->time, record.time)) + " before";
        std::map<std::int64_t, WallTime>::const_iterator later = this->publishedAt.upper_bound(generation);
        if (later != this->publishedAt.end())
            return "generation " + std::to_string(later->first) + " was published " + formatSeconds(toSeconds(later->second, record.time)) + " before";
        // A call is sent once no lease covers the primary. A verification may still pass until the call takes effect.
        std::map<std::int64_t, WallTime>::const_iterator called = this->calledAt.find(generation);
        if (called != this->calledAt.end() && record.get("basis") == "lease")
            return "a promotion in this generation was called " + formatSeconds(toSeconds(called->second, record.time)) + " before";
        return "";
    }

    GroupHistory& history;
    const LogCollection& collection;
    /// The primaries that any instance read in the record, by generation.
    std::map<std::int64_t, std::set<std::string>> published;
    /// When a generation was first seen, among the records that were processed.
    std::map<std::int64_t, WallTime> publishedAt;
    /// When the first call of the failover that ends a generation was sent.
    std::map<std::int64_t, WallTime> calledAt;
    std::map<CallKey, std::vector<const LogRecord*>> ended;
    /// The first promotion without a call of the failover that saw it, by the generation of the record.
    std::map<std::int64_t, const LogRecord*> effects;
    std::optional<Revision> newest;
    LoggedEntry known;
};

GroupHistory GroupHistory::build(const LogCollection& collection, const std::string& group)
{
    GroupHistory history;
    history.group = group;
    Builder(history, collection).build();
    return history;
}

std::size_t GroupHistory::countWarnings() const
{
    return static_cast<std::size_t>(std::count_if(this->lines.begin(), this->lines.end(), [](const Line& line) { return line.isWarning; }));
}

std::string GroupHistory::render() const
{
    if (this->isEmpty())
        return "no line tells of the group " + this->group + "\n";
    std::ostringstream text;
    text << "group " << this->group << ", " << this->lines.size() << " lines, " << this->countWarnings() << " warnings\n";
    for (const Line& line : this->lines)
        text << formatTimeOfDay(line.time) << "  " << line.instance << "  " << (line.isWarning ? "WARNING " : "") << line.text << "\n";
    for (const std::pair<const Acknowledgement, std::size_t>& entry : this->numAcknowledged)
        text << "acknowledged in generation " << entry.first.first << " at " << entry.first.second.first << " basis=" << entry.first.second.second << ": " << entry.second << "\n";
    if (this->numOmittedLines > 0)
        text << "note: the instances left " << this->numOmittedLines << " lines of served statements out; metrics count them\n";
    return text.str();
}

} // namespace lentiljunction
