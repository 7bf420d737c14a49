#pragma once

#include "lentiljunction/logbook/LogRecord.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// A summary of what the logs of a fleet say about a span of time.
///
/// @see RequestHistory, renderHtml
class FleetReport {
public:
    /// What was logged in one second.
    struct Second {
        std::int64_t numServed = 0;
        std::int64_t numRefused = 0;
        std::int64_t numFailed = 0;
    };

    /// One replacement of a primary.
    struct PrimaryChange {
        std::string group;
        std::string from;
        std::string to;
        std::string cause;
        /// From the begin of the report.
        double startSeconds = 0;
        /// From the first suspicion, or the start, to the new primary; nothing while it is not over.
        std::optional<double> gapSeconds;
    };

    /// A dependency that an instance had lost for a while.
    struct Outage {
        std::string instance;
        std::string dependency;
        double startSeconds = 0;
        /// Nothing when it was not regained.
        std::optional<double> seconds;
    };

    /// Counts the records of a collection, in order of time.
    static FleetReport build(const LogCollection& collection);

    /// @returns the report as text
    std::string renderText() const;

    /// @returns the times, texts and counts that both forms of the report show
    const std::map<std::string, std::int64_t>& getOutcomes() const { return this->outcomes; }
    const std::map<std::string, std::int64_t>& getCauses() const { return this->causes; }
    const std::vector<Second>& getSeconds() const { return this->seconds; }
    const std::vector<PrimaryChange>& getChanges() const { return this->changes; }
    const std::vector<Outage>& getOutages() const { return this->outages; }
    const std::map<std::string, std::int64_t>& getOmittedLines() const { return this->omittedLines; }
    std::size_t getNumInstances() const { return this->instances.size(); }
    std::string getBegin() const { return formatTimeOfDay(this->begin); }

private:
    struct Suspicion {
        double firstAt = 0;
        double lastAt = 0;
    };

    void count(const LogRecord& record);
    void countStatement(const LogRecord& record);
    void countChange(const LogRecord& record);
    void recordSuspicion(const std::string& group, double at);
    void countOutage(const LogRecord& record);
    Second& findSecond(WallTime time);
    PrimaryChange* findUnfinishedChange(const std::string& group);

    WallTime begin;
    std::map<std::string, std::int64_t> outcomes;
    std::map<std::string, std::int64_t> causes;
    std::map<std::string, std::int64_t> omittedLines;
    std::map<std::string, std::size_t> instances;
    std::vector<Second> seconds;
    std::vector<PrimaryChange> changes;
    std::vector<Outage> outages;
    std::map<std::string, Suspicion> suspicions;
    std::size_t numRecords = 0;
    std::size_t numUnrecognizedLines = 0;
};

/// @returns the report as one HTML page that needs no other file
std::string renderHtml(const FleetReport& report);

} // namespace lentiljunction
