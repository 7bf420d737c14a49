#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/interactive/FailureCause.h"
#include "lentiljunction/logbook/FleetReport.h"
#include "lentiljunction/logbook/GroupHistory.h"
#include "lentiljunction/logbook/RequestHistory.h"

#include <rapidcheck.h>

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

std::string makeLine(const std::string& second, const std::string& instance, const LogEvent& event, const std::string& detail)
{
    return "2026-06-11T04:14:" + second + "Z level=info instance=" + instance + " event=" + std::to_string(event.number) + " name=" + event.name + " " + detail + "\n";
}

LogCollection parseLog(const std::string& text)
{
    LogCollection collection;
    std::istringstream stream(text);
    readLog(stream, collection);
    sortByTime(collection);
    return collection;
}

/// Log lines of two instances for a request that was refused during a failover of its group.
std::string makeFailoverLog()
{
    return makeLine("01.000000", "a", events::routesInForce, "routes_version=3 routes=2")
        + makeLine("02.000000", "a", events::leaseLost, "lead_revision=6")
        + makeLine("02.500000", "a", events::statementRetried, "id=r1 attempt=1 upstream=u1 required=1:7 had=1:5 cause=upstream_answered reason=\"the upstream answered behind\"")
        + makeLine("03.000000", "a", events::statementRefused, "id=r1 group=g upstream=u1 code=busy cause=no_primary reason=\"no primary may be used\"")
        + makeLine("02.900000", "b", events::primarySuspected, "group=g primary=u1 reporters=2")
        + makeLine("03.100000", "b", events::promotionStarted, "group=g primary=u1 cause=\"the primary cannot be reached\"")
        + makeLine("04.400000", "b", events::promotionDone, "group=g primary=u2 term=2 took_ms=1300")
        + makeLine("04.500000", "a", events::leaseRegained, "lead_revision=7")
        + makeLine("05.000000", "a", events::statementServed, "id=r2 group=g upstream=u2 code=success")
        + makeLine("03.600000", "a", events::linesOmitted, "of=statement_served lines=12");
}

std::string makeRecordLine(const std::string& second, const std::string& instance, int revision, const std::string& entry)
{
    return makeLine(second, instance, events::primaryRecordUpdated, "lead_revision=" + std::to_string(revision) + " store_era=1 holder=b epoch=4 groups={\"g\":{" + entry + "}}");
}

std::string makeCallLine(const std::string& second, const LogEvent& event, const std::string& upstream, int attempt, const std::string& rest)
{
    return makeLine(second, "b", event, "group=g upstream=" + upstream + " epoch=4 generation=1 run=0 attempt=" + std::to_string(attempt) + rest);
}

std::string makeServedLine(const std::string& second, const std::string& id, const std::string& upstream, const std::string& basis, int generation, int revision)
{
    return makeLine(second, "a", events::statementServed, "id=" + id + " group=g upstream=" + upstream + " code=success basis=" + basis + " generation=" + std::to_string(generation) + " basis_revision=" + std::to_string(revision) + " acknowledged_write=1");
}

/// A failover from u2 to u3: a call for u1 gets no response, the next one is refused, and u3 is promoted and published.
std::string makePromotionLog()
{
    const std::string calls = "\"open_promotions\":[{\"upstream\":\"u1\",\"epoch\":4,\"generation\":1}]";
    return makeRecordLine("01.000000", "b", 6, R"("phase":"stable","primary":"u2","generation":1,"term":1)")
        + makeLine("02.000000", "b", events::promotionStarted, "group=g primary=u2 cause=\"it cannot be reached\"")
        + makeRecordLine("02.100000", "b", 7, R"("phase":"changing","primary":"u2","generation":1,"term":1)")
        + makeRecordLine("02.150000", "a", 7, R"("phase":"changing","primary":"u2","generation":1,"term":1)")
        + makeRecordLine("02.200000", "b", 8, R"("phase":"changing","primary":"u2","generation":1,"term":1,)" + calls)
        + makeCallLine("02.300000", events::promotionCallSent, "u1", 1, "")
        + makeCallLine("02.600000", events::promotionCallEnded, "u1", 1, " outcome=no_response took_ms=300 reason=\"no answer in time\"")
        + makeCallLine("02.800000", events::promotionCallSent, "u1", 2, "")
        + makeCallLine("02.900000", events::promotionCallEnded, "u1", 2, " outcome=refused took_ms=100 reason=\"HTTP status 409\"")
        + makeCallLine("03.000000", events::promotionCallSent, "u3", 1, "")
        + makeCallLine("03.100000", events::promotionCallEnded, "u3", 1, " outcome=accepted took_ms=100")
        + makeRecordLine("03.500000", "b", 10, R"("phase":"stable","primary":"u3","generation":2,"term":2,)" + calls)
        + makeLine("03.500100", "b", events::promotionDone, "group=g primary=u3 term=2 took_ms=1500")
        + makeServedLine("04.000000", "good", "u3", "verification", 2, 10);
}

std::vector<std::string> listWarnings(const GroupHistory& history)
{
    std::vector<std::string> warnings;
    for (const GroupHistory::Line& line : history.getLines()) {
        if (line.isWarning)
            warnings.push_back(line.text);
    }
    return warnings;
}

} // namespace

TEST_GROUP(LogRecord) {};

TEST(LogRecord, parsesLineWithCollectorPrefix)
{
    std::optional<LogRecord> record = parseLogLine("   0.0339 front-2 2026-06-11T04:14:05.033817Z level=warning instance=front-2 event=520 name=statement_refused id=8f upstream= reason=\"\"x\" is no address\" took_ms=17");
    CHECK_TRUE(record.has_value());
    STRCMP_EQUAL("front-2", record->instance.c_str());
    CHECK_EQUAL(520, record->event);
    STRCMP_EQUAL("statement_refused", record->name.c_str());
    STRCMP_EQUAL("8f", record->get("id").c_str());
    STRCMP_EQUAL("", record->get("upstream").c_str());
    STRCMP_EQUAL("\"x\" is no address", record->get("reason").c_str());
    CHECK_EQUAL(17, record->getNumber("took_ms"));
    STRCMP_EQUAL("04:14:05.033", formatTimeOfDay(record->time).c_str());
}

TEST(LogRecord, countsAndSkipsUnrecognizedLines)
{
    LogCollection collection = parseLog("built in 3 s\n\n2026-06-11T04:14:05.033817Z level=info instance=a audit {}\n" + makeLine("01.000000", "a", events::instanceReady, ""));
    CHECK_EQUAL(1, collection.records.size());
    CHECK_EQUAL(2, collection.numUnrecognizedLines);
}

// A damaged date far from the present overflowed the time of the line.
TEST(LogRecord, skipsLineWhoseDateIsOutOfRange)
{
    for (const char* year : { "-999", "0000", "1969", "9999" })
        CHECK_FALSE_TEXT(parseLogLine(std::string(year) + "-06-11T04:14:05.033817Z level=info instance=a event=103 name=instance_stopped cut_off=0").has_value(), year);
    CHECK_TRUE(parseLogLine("2026-06-11T04:14:05.033817Z level=info instance=a event=103 name=instance_stopped cut_off=0").has_value());
}

TEST(LogRecord, parsesLineWithArbitraryText)
{
    bool holds = rc::check("any line", [](const std::string& text) {
        std::string line = makeLine("01.000000", "a", events::statementRefused, text);
        line.pop_back();
        std::optional<LogRecord> record = parseLogLine(line);
        RC_ASSERT(record.has_value());
        RC_ASSERT(record->event == events::statementRefused.number);
        parseLogLine(text);
        parseLogLine(line.substr(0, line.size() / 2) + text);
    });
    CHECK_TRUE(holds);
}

TEST_GROUP(RequestHistory) {};

TEST(RequestHistory, showsRefusalWithKnownStateAndFailoverEvents)
{
    RequestHistory history = RequestHistory::build(parseLog(makeFailoverLog()), "r1");
    CHECK_EQUAL(2, history.getSteps().size());
    std::string text = history.render();
    for (const char* part : { "required=1:7", "had=1:5", "believed, routes (-2.000 s): routes_in_force", "believed, permit (-1.000 s): permit_lost", "meanwhile (+0.100 s): b promotion_started", "outcome: busy, because no primary may be used", "look next: Either the instance could not confirm who leads", "12 lines" })
        STRCMP_CONTAINS(part, text.c_str());
    // State that was logged after the step must not be shown as known at the step.
    CHECK(text.find("permit_regained") == std::string::npos);
}

TEST(RequestHistory, reportsThatNoLineNamesUnknownRequest)
{
    RequestHistory history = RequestHistory::build(parseLog(makeFailoverLog()), "r9");
    CHECK_TRUE(history.isEmpty());
    STRCMP_EQUAL("no line names the request r9\n", history.render().c_str());
}

TEST_GROUP(GroupHistory) {};

TEST(GroupHistory, listsPromotionInTimeOrderAndEachChangeOfTheRecordOnce)
{
    GroupHistory history = GroupHistory::build(parseLog(makePromotionLog()), "g");
    std::string text = history.render();
    std::size_t at = 0;
    for (const char* part : { "published: u2 is the primary of generation 1, term 1, revision 6", "failover started: of u2, because it cannot be reached", "announced: u2 of generation 1 is replaced, revision 7",
             "recorded call: u1 epoch=4 generation=1, revision 8", "call sent: u1 epoch=4 generation=1 run=0 attempt=1 (in doubt: no response)", "call ended: u1 epoch=4 generation=1 run=0 attempt=1: no_response after 300 ms, no answer in time",
             "call sent: u1 epoch=4 generation=1 run=0 attempt=2\n", "attempt=2: refused after 100 ms, HTTP status 409", "call sent: u3 epoch=4 generation=1 run=0 attempt=1\n", "attempt=1: accepted after 100 ms",
             "published: u3 is the primary of generation 2, term 2, revision 10", "took effect: u3 leads term 2", "acknowledged in generation 2 at u3 basis=verification: 1" }) {
        std::size_t found = text.find(part, at);
        CHECK_TEXT(found != std::string::npos, part);
        at = found;
    }
    CHECK_EQUAL(0, history.countWarnings());
    CHECK_TRUE(text.find("announced", text.find("announced") + 1) == std::string::npos);
    CHECK_TRUE(GroupHistory::build(parseLog(makePromotionLog()), "other").isEmpty());
}

// First hypothesis: the call for u1 that got no response takes effect after u3 was published.
TEST(GroupHistory, warnsOfAcknowledgementsAfterACallThatOutlivedItsFailover)
{
    GroupHistory history = GroupHistory::build(parseLog(makePromotionLog() + makeLine("05.000000", "a", events::promotionUnrequested, "group=g upstream=u1 term=3 primary=u3 generation=2 primary_term=2") + makeServedLine("05.250000", "late", "u3", "lease", 2, 10)), "g");
    STRCMP_CONTAINS("took effect: u1 leads term 3, seen by a verification; the record names u3 of generation 2", history.render().c_str());
    std::vector<std::string> warnings = listWarnings(history);
    CHECK_EQUAL(1, warnings.size());
    STRCMP_EQUAL("acknowledged late at u3 basis=lease generation=2 basis_revision=10: u1 led a newer term 0.250 s before", warnings[0].c_str());
}

// Second hypothesis: an instance that no one waited for goes on under an older record.
TEST(GroupHistory, warnsOfAcknowledgementUnderAnOlderRecord)
{
    GroupHistory history = GroupHistory::build(parseLog(makePromotionLog() + makeServedLine("04.500000", "old", "u2", "lease", 1, 6)), "g");
    std::vector<std::string> warnings = listWarnings(history);
    CHECK_EQUAL(1, warnings.size());
    STRCMP_EQUAL("acknowledged old at u2 basis=lease generation=1 basis_revision=6: generation 2 was published 1.000 s before", warnings[0].c_str());
}

// Second hypothesis, before the new primary is published. A verification at that time is allowed: no call took effect.
TEST(GroupHistory, warnsOfLeaseThatCoversThePrimaryAfterACallWasSent)
{
    GroupHistory history = GroupHistory::build(parseLog(makePromotionLog() + makeServedLine("02.700000", "leased", "u2", "lease", 1, 6) + makeServedLine("02.700000", "verified", "u2", "verification", 1, 6)), "g");
    std::vector<std::string> warnings = listWarnings(history);
    CHECK_EQUAL(1, warnings.size());
    STRCMP_EQUAL("acknowledged leased at u2 basis=lease generation=1 basis_revision=6: a promotion in this generation was called 0.400 s before", warnings[0].c_str());
}

// Third hypothesis: a verification passes the former primary.
TEST(GroupHistory, warnsOfAcknowledgementThatRestsOnAVerificationOfTheFormerPrimary)
{
    GroupHistory history = GroupHistory::build(parseLog(makePromotionLog() + makeServedLine("04.500000", "verified", "u2", "verification", 1, 6) + makeServedLine("04.600000", "read", "u2", "replica", 2, 10)), "g");
    std::vector<std::string> warnings = listWarnings(history);
    CHECK_EQUAL(1, warnings.size());
    STRCMP_CONTAINS("acknowledged verified at u2 basis=verification generation=1", warnings[0].c_str());
}

// The clocks of instances differ, so what contradicts an acknowledgement may be logged after it.
TEST(GroupHistory, warnsOfAcknowledgementAtAnUpstreamThatItsGenerationDoesNotName)
{
    GroupHistory history = GroupHistory::build(parseLog(makePromotionLog() + makeServedLine("03.400000", "early", "u1", "lease", 2, 10)), "g");
    std::vector<std::string> warnings = listWarnings(history);
    CHECK_EQUAL(1, warnings.size());
    STRCMP_CONTAINS("acknowledged early at u1 basis=lease generation=2 basis_revision=10: the published primary of this generation is u3", warnings[0].c_str());
}

TEST(GroupHistory, showsThatACallWithoutAnOutcomeIsInDoubt)
{
    GroupHistory history = GroupHistory::build(parseLog(makeCallLine("02.300000", events::promotionCallSent, "u1", 1, "") + makeRecordLine("02.400000", "b", 9, "damaged")), "g");
    STRCMP_CONTAINS("call sent: u1 epoch=4 generation=1 run=0 attempt=1 (in doubt: no outcome in the logs)", history.render().c_str());
}

TEST_GROUP(FleetReport) {};

TEST(FleetReport, countsOutcomesCausesPrimaryChangesAndOutages)
{
    FleetReport report = FleetReport::build(parseLog(makeFailoverLog()));
    CHECK_EQUAL(1, report.getOutcomes().at("busy"));
    CHECK_EQUAL(1, report.getOutcomes().at("success"));
    CHECK_EQUAL(1, report.getCauses().at("no_primary"));
    CHECK_EQUAL(12, report.getOmittedLines().at("statement_served"));
    CHECK_EQUAL(1, report.getChanges().size());
    DOUBLES_EQUAL(1.5, *report.getChanges().front().gapSeconds, 0.001);
    STRCMP_EQUAL("u2", report.getChanges().front().to.c_str());
    CHECK_EQUAL(1, report.getOutages().size());
    DOUBLES_EQUAL(2.5, *report.getOutages().front().seconds, 0.001);
    CHECK_EQUAL(1, report.getSeconds()[2].numRefused);
}

TEST(FleetReport, countsRepeatedUnreachableEventsAsOneOutage)
{
    FleetReport report = FleetReport::build(parseLog(makeLine("01.000000", "a", events::upstreamUnreachable, "upstream=u1 group=g") + makeLine("02.000000", "a", events::upstreamUnreachable, "upstream=u1 group=g")
        + makeLine("02.000000", "b", events::upstreamUnreachable, "upstream=u1 group=g") + makeLine("03.500000", "a", events::upstreamReachable, "upstream=u1 group=g")));
    CHECK_EQUAL(2, report.getOutages().size());
    STRCMP_EQUAL("upstream u1", report.getOutages()[0].dependency.c_str());
    DOUBLES_EQUAL(2.5, *report.getOutages()[0].seconds, 0.001);
    CHECK_FALSE(report.getOutages()[1].seconds.has_value());
}

TEST(FleetReport, excludesStaleSuspicionFromFailoverGap)
{
    FleetReport report = FleetReport::build(parseLog(makeLine("01.000000", "b", events::primarySuspected, "group=g primary=u1")
        + makeLine("30.000000", "b", events::promotionStarted, "group=g primary=u1 cause=c") + makeLine("31.000000", "b", events::promotionDone, "group=g primary=u2")));
    DOUBLES_EQUAL(1.0, *report.getChanges().front().gapSeconds, 0.001);
}

TEST(FleetReport, rendersSelfContainedPageWithEscapedText)
{
    std::string page = renderHtml(FleetReport::build(parseLog(makeFailoverLog() + makeLine("06.000000", "<script>", events::storeUnavailable, ""))));
    STRCMP_CONTAINS("<svg", page.c_str());
    STRCMP_CONTAINS("&lt;script&gt;", page.c_str());
    for (const char* forbidden : { "<script", "http://", "https://", "src=" })
        CHECK_TEXT(page.find(forbidden) == std::string::npos, forbidden);
}

TEST_GROUP(FailureCause) {};

TEST(FailureCause, parsesEveryCauseNameAndHasAdviceForIt)
{
    for (int index = 0; index <= static_cast<int>(FailureCause::LimitUndecided); index++) {
        FailureCause trouble = static_cast<FailureCause>(index);
        CHECK(parseFailureCause(toString(trouble)) == trouble);
        CHECK(std::string(adviseOperator(trouble)).size() > 10);
        CHECK(trouble == FailureCause::None || std::string(describe(trouble)).size() > 10);
    }
    CHECK(parseFailureCause("nonsense") == FailureCause::None);
}
