#pragma once

#include "lentiljunction/logbook/LogRecord.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// Summarizes the logs of all instances over the time that they cover.
///
/// @see RequestHistory, renderHtml
class FleetReport {
public:
    /// Logged statements of one second, by result.
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
        /// Seconds since the first log record.
        double startSeconds = 0;
        /// Time from the first recent suspicion, or else the start of the promotion, to its completion; empty
        /// while the promotion is not done.
        std::optional<double> gapSeconds;
    };

    /// A time during which an instance could not use one of its dependencies.
    struct Outage {
        std::string instance;
        std::string dependency;
        double startSeconds = 0;
        /// The length of the outage; empty when the logs do not show its end.
        std::optional<double> seconds;
    };

    /// Builds a report.
    ///
    /// @param collection the records, sorted by time
    static FleetReport build(const LogCollection& collection);

    /// @returns the report as text
    std::string renderText() const;

    /// @returns the number of statements by the outcome code that the caller received
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

/// @returns the report as a self-contained HTML page
std::string renderHtml(const FleetReport& report);

} // namespace lentiljunction
