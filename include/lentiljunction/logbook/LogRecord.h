#pragma once

#include "lentiljunction/core/Clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// One parsed log line.
///
/// @see logEvent, readLog
struct LogRecord {
    WallTime time;
    std::string instance;
    /// The number of the event in the event catalogue.
    int event = 0;
    std::string name;
    /// The fields after the event's name, by key.
    std::map<std::string, std::string> fields;

    /// @returns the value of a field, or an empty string when the line has no such field
    std::string get(const std::string& key) const;

    /// @returns the value of a field as a number, or zero when it is not a number
    std::int64_t getNumber(const std::string& key) const;
};

/// Parses one line as written by logEvent.
///
/// Skips any text before the timestamp, such as a prefix added by a log collector.
///
/// @returns the record, or nothing when the line is not a log event of this program
std::optional<LogRecord> parseLogLine(const std::string& line);

/// The records parsed from the logs of several instances.
struct LogCollection {
    /// Sorted by time after sortByTime.
    std::vector<LogRecord> records;
    /// Lines that are not log records, such as those of other programs.
    std::size_t numUnrecognizedLines = 0;
};

/// Parses the lines of a stream and adds them to a collection. Call sortByTime after the last stream.
void readLog(std::istream& stream, LogCollection& collection);

/// Sorts the records by time. Records with the same time keep their order.
void sortByTime(LogCollection& collection);

/// @returns seconds between two times, negative when `to` is earlier
double toSeconds(WallTime from, WallTime to);

/// @returns the time of day in UTC with milliseconds
std::string formatTimeOfDay(WallTime time);

} // namespace lentiljunction
