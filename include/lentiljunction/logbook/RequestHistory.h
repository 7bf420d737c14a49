#pragma once

#include "lentiljunction/logbook/LogRecord.h"

#include <string>
#include <vector>

namespace lentiljunction {

/// The way of one request through the fleet, with what was believed at each step.
///
/// @code
/// RequestHistory history = RequestHistory::build(collection, "7edb0f4a90c1b1a4");
/// std::cout << history.render();
/// @endcode
/// @see FleetReport
class RequestHistory {
public:
    /// A knownState that was in force at a step.
    struct KnownState {
        /// What it is subject, for example "routes" or "store".
        std::string subject;
        LogRecord record;
        /// From the record to the step.
        double ageSeconds = 0;
    };

    /// One decision subject the request.
    struct Step {
        LogRecord record;
        std::vector<KnownState> knownStates;
        /// What happened to the request's group on any instance in the seconds around the step.
        std::vector<LogRecord> groupEvents;
    };

    /// @param collection in order of time
    /// @param id the request's id
    static RequestHistory build(const LogCollection& collection, const std::string& id);

    /// @returns whether no line names the request
    bool isEmpty() const { return this->steps.empty(); }

    const std::vector<Step>& getSteps() const { return this->steps; }

    /// @returns the history as text, with the cause of a failure and where to look next
    std::string render() const;

private:
    std::string id;
    std::vector<Step> steps;
    /// Lines that instances left out while the request was under way.
    std::int64_t numOmittedLines = 0;
};

} // namespace lentiljunction
