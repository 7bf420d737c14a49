#include "lentiljunction/session/UpstreamStatus.h"

#include "lentiljunction/core/Numbers.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    std::optional<std::string> findColumn(const ResultSet& result, const std::string& name)
    {
        std::vector<std::string>::const_iterator found = std::find(result.columns.begin(), result.columns.end(), name);
        if (found == result.columns.end())
            return std::nullopt;
        return result.rows.front()[static_cast<std::size_t>(found - result.columns.begin())];
    }

    std::uint64_t readNumber(const ResultSet& result, const std::string& name, Failure& failure)
    {
        std::optional<std::uint64_t> number = parseWholeNumber(findColumn(result, name).value_or(""));
        if (!number)
            failure.set(Failure::Kind::InvalidInput, "status column " + name + " is missing or is not a whole number");
        return number.value_or(0);
    }

} // namespace

std::optional<UpstreamStatus> parseUpstreamStatus(const ResultSet& result, Failure& failure)
{
    if (result.rows.size() != 1 || result.rows.front().size() != result.columns.size()) {
        failure.set(Failure::Kind::InvalidInput, "the status statement must return one row");
        return std::nullopt;
    }

    failure = Failure();
    UpstreamStatus status;
    status.isPrimary = findColumn(result, "role").value_or("") == "primary";
    status.isLeaving = findColumn(result, "state").value_or("") == "leaving";
    status.fencedTerm = Term(readNumber(result, "fenced_term", failure));
    status.head.term = Term(readNumber(result, "head_term", failure));
    status.head.position = Position(readNumber(result, "head_position", failure));
    std::optional<TermHistory> history = TermHistory::parse(findColumn(result, "term_history").value_or("?"));
    if (!history)
        failure.set(Failure::Kind::InvalidInput, "status column term_history is missing or malformed");
    if (failure.kind != Failure::Kind::None)
        return std::nullopt;

    status.history = *history;
    return status;
}

} // namespace lentiljunction
