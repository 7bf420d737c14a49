#pragma once

#include "lentiljunction/core/Clock.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// One line of a log, read back.
///
/// @see logEvent, readLog
struct LogRecord {
    WallTime time;
    std::string instance;
    /// The number of the event in the catalogue.
    int event = 0;
    std::string name;
    /// Everything after the event's name, by key.
    std::map<std::string, std::string> fields;

    /// @returns the value of a field, empty when the line has none of this name
    std::string get(const std::string& key) const;

    /// @returns the value of a field as a number, zero when it is none
    std::int64_t getNumber(const std::string& key) const;
};

/// Reads one line as logEvent writes it.
///
/// Whatever stands before the time, for example what a log collector adds, is skipped.
///
/// @returns the record, or nothing when the line is not one of ours
std::optional<LogRecord> parseLogLine(const std::string& line);

/// What was read from the logs of several instances.
struct LogCollection {
    /// In order of time.
    std::vector<LogRecord> records;
    /// Lines that are no records, such as those of other programs.
    std::size_t numUnrecognizedLines = 0;
};

/// Reads the lines of a stream and adds them to a collection; call sortByTime after the last.
void readLog(std::istream& stream, LogCollection& collection);

/// Puts the records of several instances into the order of time.
void sortByTime(LogCollection& collection);

/// @returns seconds between two times, negative when `to` is earlier
double toSeconds(WallTime from, WallTime to);

/// @returns the time of day in UTC with milliseconds
std::string formatTimeOfDay(WallTime time);

} // namespace lentiljunction
