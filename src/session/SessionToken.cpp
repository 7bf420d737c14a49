#include "lentiljunction/session/SessionToken.h"

#include "lentiljunction/core/Numbers.h"

#include <sstream>
#include <vector>

namespace lentiljunction {

namespace {

    constexpr char entrySeparator = '.';
    constexpr char fieldSeparator = '~';
    const std::string formatVersion = "1";

    std::vector<std::string> split(const std::string& text, char separator)
    {
        std::vector<std::string> parts;
        std::istringstream stream(text);
        std::string part;
        while (std::getline(stream, part, separator))
            parts.push_back(part);
        return parts;
    }

} // namespace

std::optional<SessionToken> SessionToken::parse(const std::string& text, Failure& failure)
{
    SessionToken token;
    if (text.empty())
        return token;

    std::vector<std::string> entries = split(text, entrySeparator);
    if (entries.front() != formatVersion || entries.size() > maximumDatabases + 1) {
        failure.set(Failure::Kind::InvalidInput, "the session is not a valid session token of this service");
        return std::nullopt;
    }

    for (std::size_t index = 1; index < entries.size(); index++) {
        std::vector<std::string> fields = split(entries[index], fieldSeparator);
        std::optional<std::uint64_t> term = fields.size() == 3 ? parseWholeNumber(fields[1]) : std::nullopt;
        std::optional<std::uint64_t> position = fields.size() == 3 ? parseWholeNumber(fields[2]) : std::nullopt;
        if (!term || !position || fields[0].empty()) {
            failure.set(Failure::Kind::InvalidInput, "the session is not a valid session token of this service");
            return std::nullopt;
        }
        token.points[DatabaseId(fields[0])] = { Term(*term), Position(*position) };
    }
    return token;
}

std::string SessionToken::toString() const
{
    if (this->points.empty())
        return {};

    std::string text = formatVersion;
    for (const std::pair<const DatabaseId, LogPoint>& entry : this->points) {
        text += entrySeparator + entry.first.toString();
        text += fieldSeparator + std::to_string(entry.second.term.value());
        text += fieldSeparator + std::to_string(entry.second.position.value());
    }
    return text;
}

std::optional<LogPoint> SessionToken::find(const DatabaseId& database) const
{
    std::map<DatabaseId, LogPoint>::const_iterator found = this->points.find(database);
    if (found == this->points.end())
        return std::nullopt;
    return found->second;
}

void SessionToken::advance(const DatabaseId& database, LogPoint point)
{
    LogPoint& current = this->points[database];
    if (current < point)
        current = point;
}

} // namespace lentiljunction
