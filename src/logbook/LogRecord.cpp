#include "lentiljunction/logbook/LogRecord.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <ctime>
#include <istream>

namespace lentiljunction {

namespace {

    /// Length of a timestamp such as "2026-06-11T04:13:55.061508Z".
    constexpr std::size_t timeLength = 27;
    constexpr std::int64_t microsecondsPerSecond = 1000000;
    /// A time in nanoseconds has room for these years.
    constexpr int firstYear = 1970;
    constexpr int lastYear = 2200;

    std::optional<WallTime> parseTime(const std::string& text)
    {
        std::tm parts {};
        int microseconds = 0;
        int numRead = std::sscanf(text.c_str(), "%4d-%2d-%2dT%2d:%2d:%2d.%6dZ", &parts.tm_year, &parts.tm_mon, &parts.tm_mday, &parts.tm_hour, &parts.tm_min, &parts.tm_sec, &microseconds);
        constexpr int numParts = 7;
        if (numRead != numParts || parts.tm_year < firstYear || parts.tm_year > lastYear)
            return std::nullopt;
        parts.tm_year -= 1900;
        parts.tm_mon -= 1;
        return WallTime(std::chrono::seconds(timegm(&parts)) + std::chrono::microseconds(microseconds));
    }

    bool isKeyCharacter(char character)
    {
        return (character >= 'a' && character <= 'z') || character == '_';
    }

    /// @returns whether a field ("key=") or the end of the line begins at a position
    bool isFieldStart(const std::string& line, std::size_t at)
    {
        std::size_t end = at;
        while (end < line.size() && isKeyCharacter(line[end]))
            end++;
        return at >= line.size() || (end > at && end < line.size() && line[end] == '=');
    }

    /// @returns the position after a value. A quoted value may contain quotes, so it ends at a quote that is
    /// followed by another field or by the end of the line.
    std::size_t findValueEnd(const std::string& line, std::size_t begin)
    {
        bool isQuoted = begin < line.size() && line[begin] == '"';
        if (!isQuoted)
            return std::min(line.find(' ', begin), line.size());
        for (std::size_t quote = line.find('"', begin + 1); quote != std::string::npos; quote = line.find('"', quote + 1)) {
            bool isLast = quote + 1 >= line.size();
            if (isLast || (line[quote + 1] == ' ' && isFieldStart(line, quote + 2)))
                return quote + 1;
        }
        return line.size();
    }

    std::map<std::string, std::string> parseFields(const std::string& line, std::size_t at)
    {
        std::map<std::string, std::string> fields;
        while (at < line.size()) {
            std::size_t equals = line.find('=', at);
            if (equals == std::string::npos)
                break;
            std::size_t end = findValueEnd(line, equals + 1);
            std::string value = line.substr(equals + 1, end - equals - 1);
            if (value.size() >= 2 && value.front() == '"' && value.back() == '"')
                value = value.substr(1, value.size() - 2);
            fields[line.substr(at, equals - at)] = value;
            at = line.find_first_not_of(' ', end);
        }
        return fields;
    }

} // namespace

std::string LogRecord::get(const std::string& key) const
{
    std::map<std::string, std::string>::const_iterator found = this->fields.find(key);
    return found == this->fields.end() ? "" : found->second;
}

std::int64_t LogRecord::getNumber(const std::string& key) const
{
    std::string text = this->get(key);
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::optional<LogRecord> parseLogLine(const std::string& line)
{
    std::size_t level = line.find(" level=");
    if (level == std::string::npos || level < timeLength)
        return std::nullopt;
    std::optional<WallTime> time = parseTime(line.substr(level - timeLength, timeLength));
    if (!time)
        return std::nullopt;
    LogRecord record;
    record.time = *time;
    record.fields = parseFields(line, level + 1);
    record.instance = record.get("instance");
    record.event = static_cast<int>(record.getNumber("event"));
    record.name = record.get("name");
    if (record.event == 0 || record.name.empty())
        return std::nullopt;
    for (const char* key : { "level", "instance", "event", "name" })
        record.fields.erase(key);
    return record;
}

void readLog(std::istream& stream, LogCollection& collection)
{
    for (std::string line; std::getline(stream, line);) {
        std::optional<LogRecord> record = parseLogLine(line);
        if (record)
            collection.records.push_back(std::move(*record));
        else if (!line.empty())
            collection.numUnrecognizedLines++;
    }
}

void sortByTime(LogCollection& collection)
{
    std::stable_sort(collection.records.begin(), collection.records.end(), [](const LogRecord& one, const LogRecord& other) { return one.time < other.time; });
}

double toSeconds(WallTime from, WallTime to)
{
    return std::chrono::duration<double>(to - from).count();
}

std::string formatTimeOfDay(WallTime time)
{
    std::int64_t microseconds = std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
    std::time_t seconds = microseconds / microsecondsPerSecond;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    constexpr int microsecondsPerMillisecond = 1000;
    char text[32];
    std::snprintf(text, sizeof text, "%02d:%02d:%02d.%03d", parts.tm_hour, parts.tm_min, parts.tm_sec, static_cast<int>(microseconds % microsecondsPerSecond) / microsecondsPerMillisecond);
    return text;
}

} // namespace lentiljunction
