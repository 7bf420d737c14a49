#pragma once

#include "lentiljunction/logbook/LogRecord.h"

#include <string>
#include <vector>

namespace lentiljunction {

/// The log records of one request on all instances, with the state known to the instance at each step.
///
/// @code
/// RequestHistory history = RequestHistory::build(collection, "7edb0f4a90c1b1a4");
/// std::cout << history.render();
/// @endcode
/// @see FleetReport
class RequestHistory {
public:
    /// The newest log record about one subject that the instance had logged before a step.
    struct KnownState {
        /// What the record is about, for example "routes" or "store".
        std::string subject;
        LogRecord record;
        /// Time from the record to the step.
        double ageSeconds = 0;
    };

    /// One log record that names the request.
    struct Step {
        LogRecord record;
        std::vector<KnownState> knownStates;
        /// Failover events of the request's group on any instance, shortly before and after the step.
        std::vector<LogRecord> groupEvents;
    };

    /// @param collection the records, sorted by time
    /// @param id the request's id
    static RequestHistory build(const LogCollection& collection, const std::string& id);

    /// @returns whether no log record names the request
    bool isEmpty() const { return this->steps.empty(); }

    const std::vector<Step>& getSteps() const { return this->steps; }

    /// @returns the history as text, with the cause of a failure and advice for the operator
    std::string render() const;

private:
    std::string id;
    std::vector<Step> steps;
    /// Log lines that instances omitted around the time of the request.
    std::int64_t numOmittedLines = 0;
};

} // namespace lentiljunction
