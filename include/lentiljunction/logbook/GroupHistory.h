#pragma once

#include "lentiljunction/logbook/LogRecord.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lentiljunction {

/// The promotions of one group in the logs of all instances, and the acknowledgements that they contradict.
///
/// A line is a warning when an acknowledgement or a record contradicts another line, whatever the clocks of the instances
/// show, or when an acknowledgement was logged after a line that it contradicts.
///
/// @code
/// std::cout << GroupHistory::build(collection, "ledger").render();
/// @endcode
/// @see RequestHistory
class GroupHistory {
public:
    struct Line {
        WallTime time;
        std::string instance;
        std::string text;
        bool isWarning = false;
    };

    /// @param collection the records, sorted by time
    static GroupHistory build(const LogCollection& collection, const std::string& group);

    /// @returns whether no log record tells of the group
    bool isEmpty() const { return this->lines.empty() && this->numAcknowledged.empty(); }

    /// @returns the lines in time order
    const std::vector<Line>& getLines() const { return this->lines; }

    /// @returns the number of warnings
    std::size_t countWarnings() const;

    /// @returns the history as text, with the number of acknowledgements by generation, upstream and basis
    std::string render() const;

private:
    class Builder;

    /// An acknowledgement's generation, upstream and basis.
    using Acknowledgement = std::pair<std::int64_t, std::pair<std::string, std::string>>;

    std::string group;
    std::vector<Line> lines;
    std::map<Acknowledgement, std::size_t> numAcknowledged;
    /// Lines of served statements that instances omitted.
    std::int64_t numOmittedLines = 0;
};

} // namespace lentiljunction
