#include "lentiljunction/session/SessionToken.h"
#include "lentiljunction/session/TermHistory.h"
#include "lentiljunction/session/UpstreamStatus.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

/// A log with its entries one by one, as a reference for TermHistory.
struct ReferenceLog {
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

ReferenceLog generateLog()
{
    ReferenceLog log;
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

TEST(TermHistory, coverageMatchesReferenceLog)
{
    CHECK(rc::check("the coverage matches the entries of the log", [] {
        ReferenceLog log = generateLog();
        LogPoint point { Term(static_cast<std::uint64_t>(*rc::gen::inRange(1, 12))), Position(static_cast<std::uint64_t>(*rc::gen::inRange(1, 40))) };
        Coverage coverage = log.makeHistory().getCoverage(point, Position(log.entries.size()));

        bool isPresent = point.position.value() <= log.entries.size() && log.entries[point.position.value() - 1] == point.term;
        RC_ASSERT((coverage == Coverage::Covered) == isPresent);
        bool hasLaterTerm = !log.entries.empty() && log.entries.back() > point.term;
        if (coverage == Coverage::Behind)
            RC_ASSERT(!hasLaterTerm);
    }));
}

TEST(TermHistory, higherPositionInOlderTermDoesNotCover)
{
    std::optional<TermHistory> history = TermHistory::parse("1:1,3:50");
    CHECK(history->getCoverage({ Term(4), Position(60) }, Position(900)) == Coverage::Behind);
    CHECK(history->getCoverage({ Term(1), Position(50) }, Position(900)) == Coverage::Diverged);
    CHECK(history->getCoverage({ Term(1), Position(49) }, Position(900)) == Coverage::Covered);
}

TEST(TermHistory, rejectsMalformedText)
{
    for (const char* text : { "1", "1:", ":1", "a:1", "2:1,1:5", "1:5,2:5", "1:1,,2:2", "99999999999999999999:1" })
        CHECK_FALSE(TermHistory::parse(text).has_value());
    CHECK(TermHistory::parse("").has_value());
}

TEST_GROUP(SessionToken) {};

TEST(SessionToken, parsesOwnTextToSameToken)
{
    CHECK(rc::check("a token is parsed from its own text without loss", [] {
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

TEST(SessionToken, neverMovesToEarlierPoint)
{
    SessionToken token;
    DatabaseId database("db-a");
    token.advance(database, { Term(3), Position(10) });
    token.advance(database, { Term(2), Position(99) });
    token.advance(database, { Term(3), Position(9) });
    CHECK(token.find(database) == (LogPoint { Term(3), Position(10) }));
}

TEST(SessionToken, rejectsForeignText)
{
    Failure failure;
    for (const char* text : { "x", "2.db~1~1", "1.db~1", "1.db~a~1", "1.~1~1", "1.db~1~1~1" })
        CHECK_FALSE(SessionToken::parse(text, failure).has_value());
}

TEST_GROUP(UpstreamStatus) {};

TEST(UpstreamStatus, namesMissingColumn)
{
    ResultSet result;
    result.columns = { "role", "fenced_term", "head_term", "head_position", "state" };
    result.rows = { { "primary", "1", "1", "5", "live" } };
    Failure failure;
    CHECK_FALSE(parseUpstreamStatus(result, failure).has_value());
    STRCMP_CONTAINS("term_history", failure.reason.c_str());
}
