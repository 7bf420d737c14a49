#include "lentiljunction/session/SessionToken.h"
#include "lentiljunction/session/TermHistory.h"
#include "lentiljunction/session/UpstreamStatus.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

/// A log made entry by entry, to compare the history's answer with.
struct PlainLog {
    std::vector<Term> entries;

    TermHistory makeHistory() const
    {
        TermHistory history;
        for (std::size_t index = 0; index < this->entries.size(); index++) {
            if (index == 0 || this->entries[index - 1] != this->entries[index])
                history.append({ this->entries[index], Position(index + 1) });
        }
        return history;
    }
};

PlainLog drawLog()
{
    PlainLog log;
    std::uint64_t term = 1;
    int length = *rc::gen::inRange(0, 30);
    for (int index = 0; index < length; index++) {
        term += static_cast<std::uint64_t>(*rc::gen::weightedElement<int>({ { 5, 0 }, { 1, 1 }, { 1, 3 } }));
        log.entries.emplace_back(term);
    }
    return log;
}

} // namespace

TEST_GROUP(TermHistory) {};

TEST(TermHistory, coverageAgreesWithAPlainLog)
{
    CHECK(rc::check("coverage is that of the entries themselves", [] {
        PlainLog log = drawLog();
        LogPoint point { Term(static_cast<std::uint64_t>(*rc::gen::inRange(1, 12))), Position(static_cast<std::uint64_t>(*rc::gen::inRange(1, 40))) };
        Coverage coverage = log.makeHistory().getCoverage(point, Position(log.entries.size()));

        bool isThere = point.position.value() <= log.entries.size() && log.entries[point.position.value() - 1] == point.term;
        RC_ASSERT((coverage == Coverage::Covered) == isThere);
        bool hasLaterTerm = !log.entries.empty() && log.entries.back() > point.term;
        if (coverage == Coverage::Behind)
            RC_ASSERT(!hasLaterTerm);
    }));
}

TEST(TermHistory, aGreaterPositionUnderAnOlderTermDoesNotCover)
{
    std::optional<TermHistory> history = TermHistory::parse("1:1,3:50");
    CHECK(history->getCoverage({ Term(4), Position(60) }, Position(900)) == Coverage::Behind);
    CHECK(history->getCoverage({ Term(1), Position(50) }, Position(900)) == Coverage::Diverged);
    CHECK(history->getCoverage({ Term(1), Position(49) }, Position(900)) == Coverage::Covered);
}

TEST(TermHistory, malformedTextIsRefused)
{
    for (const char* text : { "1", "1:", ":1", "a:1", "2:1,1:5", "1:5,2:5", "1:1,,2:2", "99999999999999999999:1" })
        CHECK_FALSE(TermHistory::parse(text).has_value());
    CHECK(TermHistory::parse("").has_value());
}

TEST_GROUP(SessionToken) {};

TEST(SessionToken, textGivesTheSameToken)
{
    CHECK(rc::check("a token survives the way through the caller", [] {
        SessionToken token;
        int count = *rc::gen::inRange(0, 8);
        for (int index = 0; index < count; index++)
            token.advance(DatabaseId("db-" + std::to_string(index)), { Term(static_cast<std::uint64_t>(*rc::gen::inRange(1, 1000))), Position(static_cast<std::uint64_t>(*rc::gen::inRange(1, 1000000))) });

        Failure failure;
        std::optional<SessionToken> parsed = SessionToken::parse(token.toString(), failure);
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(parsed->toString() == token.toString());
    }));
}

TEST(SessionToken, neverMovesBack)
{
    SessionToken token;
    DatabaseId database("db-a");
    token.advance(database, { Term(3), Position(10) });
    token.advance(database, { Term(2), Position(99) });
    token.advance(database, { Term(3), Position(9) });
    CHECK(token.find(database) == (LogPoint { Term(3), Position(10) }));
}

TEST(SessionToken, foreignTextIsRefused)
{
    Failure failure;
    for (const char* text : { "x", "2.db~1~1", "1.db~1", "1.db~a~1", "1.~1~1", "1.db~1~1~1" })
        CHECK_FALSE(SessionToken::parse(text, failure).has_value());
}

TEST_GROUP(UpstreamStatus) {};

TEST(UpstreamStatus, everyMissingColumnIsNamed)
{
    ResultSet result;
    result.columns = { "role", "fenced_term", "head_term", "head_position", "state" };
    result.rows = { { "primary", "1", "1", "5", "live" } };
    Failure failure;
    CHECK_FALSE(parseUpstreamStatus(result, failure).has_value());
    STRCMP_CONTAINS("term_history", failure.reason.c_str());
}
