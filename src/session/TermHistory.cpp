#include "lentiljunction/session/TermHistory.h"

#include "lentiljunction/core/Numbers.h"
#include "lentiljunction/core/ProcessEnd.h"

#include <sstream>

namespace lentiljunction {

std::optional<TermHistory> TermHistory::parse(const std::string& text)
{
    TermHistory history;
    std::istringstream stream(text);
    std::string item;
    while (std::getline(stream, item, ',')) {
        std::size_t colon = item.find(':');
        if (colon == std::string::npos)
            return std::nullopt;

        std::optional<std::uint64_t> term = parseWholeNumber(item.substr(0, colon));
        std::optional<std::uint64_t> position = parseWholeNumber(item.substr(colon + 1));
        if (!term || !position)
            return std::nullopt;

        Start start { Term(*term), Position(*position) };
        bool isAscending = history.starts.empty()
            || (history.starts.back().term < start.term && history.starts.back().position < start.position);
        if (!isAscending)
            return std::nullopt;
        history.starts.push_back(start);
    }
    return history;
}

std::string TermHistory::toString() const
{
    std::string text;
    for (const Start& start : this->starts) {
        if (!text.empty())
            text += ",";
        text += std::to_string(start.term.value()) + ":" + std::to_string(start.position.value());
    }
    return text;
}

Coverage TermHistory::getCoverage(LogPoint point, Position head) const
{
    for (std::size_t index = 0; index < this->starts.size(); index++) {
        if (this->starts[index].term != point.term)
            continue;

        bool isLast = index + 1 == this->starts.size();
        if (point.position < this->starts[index].position)
            return Coverage::Diverged;
        if (!isLast)
            return point.position < this->starts[index + 1].position ? Coverage::Covered : Coverage::Diverged;
        return point.position <= head ? Coverage::Covered : Coverage::Behind;
    }

    bool hasLaterTerm = !this->starts.empty() && this->starts.back().term > point.term;
    return hasLaterTerm ? Coverage::Diverged : Coverage::Behind;
}

std::optional<Position> TermHistory::findStart(Term term) const
{
    for (const Start& start : this->starts) {
        if (start.term == term)
            return start.position;
    }
    return std::nullopt;
}

void TermHistory::append(Start start)
{
    checkInvariant(this->starts.empty() || this->starts.back().term < start.term, "terms ascend");
    this->starts.push_back(start);
}

} // namespace lentiljunction
