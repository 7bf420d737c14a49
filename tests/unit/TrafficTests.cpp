#include "../support/TrafficBench.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;
using namespace lentiljunction::tests;

namespace {

constexpr std::uint64_t numSeeds = 60;
constexpr int bookingsPerSeed = 60;
constexpr Duration bookingInterval = std::chrono::milliseconds(8);

/// Sends bookings to all instances under faults, half of them with an idempotency key, reads each completed
/// booking back through another instance, and records every answer.
class BookingWorkload {
public:
    BookingWorkload(std::uint64_t seed, BenchFaults faults)
        : bench(seed, faults)
    {
        for (int count = 0; count < bookingsPerSeed; count++) {
            this->book("b" + std::to_string(count), count % 2 == 0, static_cast<std::size_t>(count) % 3);
            this->bench.advance(bookingInterval);
            if (faults.changesPrimary && count == bookingsPerSeed / 2)
                this->bench.changePrimary();
        }
        this->bench.advance(std::chrono::seconds(6));
        this->bench.stopFaults();
    }

    /// @returns a description of the first violation, or nothing
    std::optional<std::string> findViolation()
    {
        if (!this->wrongAnswer.empty())
            return this->wrongAnswer;
        for (const std::pair<const std::string, BookingResult>& entry : this->results) {
            int count = this->bench.countAtPrimary(entry.first);
            if (entry.second.numAnswers != 1)
                return entry.first + " got " + std::to_string(entry.second.numAnswers) + " answers";
            if (count > 1)
                return entry.first + " was stored twice";
            if (entry.second.kind == OutcomeKind::Completed && count != 1)
                return entry.first + " was acknowledged but is lost";
            bool isRefused = entry.second.kind == OutcomeKind::NotRun || entry.second.kind == OutcomeKind::Rejected;
            if (isRefused && count != 0)
                return entry.first + " was refused but ran";
        }
        return std::nullopt;
    }

    int numCompleted = 0;
    int numUnknown = 0;
    int numReadBack = 0;

private:
    struct BookingResult {
        int numAnswers = 0;
        OutcomeKind kind = OutcomeKind::Unknown;
    };

    void book(const std::string& id, bool isKeyed, std::size_t instance)
    {
        this->results[id];
        this->bench.run(instance, makeBookingRequest(id, isKeyed), [this, id, instance](const CallerResponse& answer) {
            if (answer.id != RequestId(id))
                this->wrongAnswer = id + " got the answer of " + answer.id.toString();
            this->results[id].numAnswers++;
            this->results[id].kind = answer.outcome.kind;
            this->numUnknown += answer.outcome.kind == OutcomeKind::Unknown ? 1 : 0;
            if (answer.outcome.kind != OutcomeKind::Completed)
                return;
            this->numCompleted++;
            this->readBack(id, answer.session, (instance + 1) % 3);
        });
    }

    void readBack(const std::string& id, const std::string& session, std::size_t instance)
    {
        this->bench.run(instance, makeCountRequest(id, session), [this, id](const CallerResponse& answer) {
            if (answer.outcome.kind != OutcomeKind::Completed)
                return;
            this->numReadBack++;
            const std::vector<std::optional<std::string>>& row = answer.outcome.results.front().rows.front();
            if (row[0] != id)
                this->wrongAnswer = id + " got the rows of " + row[0].value_or("nobody");
            if (row[1] != "1")
                this->wrongAnswer = id + " was not seen by its own session";
        });
    }

    TrafficBench bench;
    std::map<std::string, BookingResult> results;
    std::string wrongAnswer;
};

/// Runs the booking workload under the faults with all seeds and fails at the first violation.
///
/// @returns the number of completed bookings over all seeds
int checkAllSeeds(BenchFaults faults)
{
    int numCompleted = 0;
    int numReadBack = 0;
    for (std::uint64_t seed = 1; seed <= numSeeds; seed++) {
        BookingWorkload bookings(seed, faults);
        std::optional<std::string> violation = bookings.findViolation();
        if (violation)
            FAIL(("seed " + std::to_string(seed) + ": " + *violation).c_str());
        numCompleted += bookings.numCompleted;
        numReadBack += bookings.numReadBack;
    }
    CHECK(numReadBack > 0);
    return numCompleted;
}

/// Checks that all reads complete while an upstream leaves, and that none of them runs there.
///
/// @param areEntryInstancesNotified whether the instances that receive the requests know that it leaves; if not, its gate
/// refuses the reads
void checkLeavingUpstream(bool areEntryInstancesNotified)
{
    TrafficBench bench(1, BenchFaults());
    bench.setLeaving(1, areEntryInstancesNotified);
    bench.advance(std::chrono::seconds(3));
    std::uint64_t before = bench.getNumExecuted(1);
    int numCompleted = 0;
    for (int count = 0; count < 100; count++) {
        bench.run(static_cast<std::size_t>(count) % 3, makeCountRequest("b", ""), [&](const CallerResponse& answer) { numCompleted += answer.outcome.kind == OutcomeKind::Completed ? 1 : 0; });
        bench.advance(std::chrono::milliseconds(5));
    }
    bench.advance(std::chrono::seconds(3));
    CHECK_EQUAL(100, numCompleted);
    CHECK_EQUAL(before, bench.getNumExecuted(1));
}

} // namespace

TEST_GROUP(Traffic) {};

TEST(Traffic, completesEveryBookingWithoutFaults)
{
    CHECK_EQUAL(static_cast<int>(numSeeds) * bookingsPerSeed, checkAllSeeds(BenchFaults()));
}

TEST(Traffic, deliversNoAnswerToOtherRequest)
{
    BenchFaults faults;
    faults.lostHops = 5;
    faults.lostAnswers = 10;
    faults.repeatedAnswers = 30;
    CHECK(checkAllSeeds(faults) > 1000);
}

TEST(Traffic, losesAndDuplicatesNoBookingOnBrokenOrSilentConnections)
{
    BenchFaults faults;
    faults.brokenConnections = 5;
    faults.silentConnections = 10;
    CHECK(checkAllSeeds(faults) > 1000);
}

TEST(Traffic, losesAndDuplicatesNoBookingOnChangeOfPrimary)
{
    BenchFaults faults;
    faults.changesPrimary = true;
    CHECK(checkAllSeeds(faults) > 1000);
}

TEST(Traffic, losesAndDuplicatesNoBookingUnderAllFaults)
{
    BenchFaults faults { 5, 5, 10, 3, 5, true };
    CHECK(checkAllSeeds(faults) > 500);
}

TEST(Traffic, sendsNoStatementsToLeavingUpstream)
{
    checkLeavingUpstream(true);
}

TEST(Traffic, refusesLeavingUpstreamThatEntryInstancesStillChoose)
{
    checkLeavingUpstream(false);
}

TEST(Traffic, refusesExpiredIdempotencyKey)
{
    TrafficBench bench(1, BenchFaults());
    Request request = makeBookingRequest("old", true);
    request.key->issuedAt -= std::chrono::milliseconds(std::chrono::hours(25)).count();
    std::optional<Outcome> outcome;
    bench.run(0, request, [&](const CallerResponse& answer) { outcome = answer.outcome; });
    bench.advance(std::chrono::seconds(1));
    CHECK(outcome->reason == NotRunReason::KeyExpired);
    CHECK_EQUAL(0, bench.countAtPrimary("old"));
}

TEST(Traffic, prunesKeysOnlyAfterTheyAreRefused)
{
    TrafficBench bench(1, BenchFaults());
    Request first = makeBookingRequest("first", true);
    bench.run(0, first, [](const CallerResponse&) {});
    bench.advance(std::chrono::minutes(2));
    bench.run(0, makeBookingRequest("second", true), [](const CallerResponse&) {});
    bench.advance(std::chrono::minutes(2));
    CHECK_EQUAL(2, bench.countKeys());

    // An idempotency key is refused once its retention period is over, and is deleted only later.
    bench.clock.advance(std::chrono::hours(26));
    std::optional<Outcome> repeat;
    bench.run(0, first, [&](const CallerResponse& answer) { repeat = answer.outcome; });
    Request fresh = makeBookingRequest("fresh", true);
    fresh.key->issuedAt = toUnixMilliseconds(bench.clock.wallNow());
    fresh.key->text = std::to_string(fresh.key->issuedAt) + ":fresh";
    bench.run(0, fresh, [](const CallerResponse&) {});
    bench.advance(std::chrono::minutes(2));
    CHECK(repeat->reason == NotRunReason::KeyExpired);
    CHECK_EQUAL(1, bench.countKeys());
    CHECK_EQUAL(1, bench.countAtPrimary("first"));
}

TEST(Traffic, neverSharesConnectionBetweenTransactions)
{
    TrafficBench bench(1, BenchFaults());
    std::vector<TransactionId> ids(2);
    std::vector<std::string> names { "x", "y" };
    for (std::size_t index = 0; index < 2; index++) {
        Request begin = makeBookingRequest(names[index], false);
        begin.action = TransactionAction::Begin;
        begin.statements = { "SELECT '" + names[index] + "'" };
        bench.run(index, begin, [&, index](const CallerResponse& answer) { ids[index] = answer.transaction; });
        bench.advance(std::chrono::milliseconds(100));
    }
    CHECK(!ids[0].isEmpty());
    CHECK(ids[0] != ids[1]);

    // The first transaction rolls back and the second commits, so only the second booking may be stored.
    std::vector<OutcomeKind> kinds(2, OutcomeKind::Unknown);
    for (std::size_t index = 0; index < 2; index++) {
        Request next = makeBookingRequest(names[index], false);
        next.transaction = ids[index];
        next.action = index == 0 ? TransactionAction::Rollback : TransactionAction::Commit;
        if (index == 0)
            next.statements.clear();
        bench.run(2, next, [&, index](const CallerResponse& answer) { kinds[index] = answer.outcome.kind; });
        bench.advance(std::chrono::milliseconds(500));
    }
    CHECK(kinds[0] == OutcomeKind::Completed);
    CHECK(kinds[1] == OutcomeKind::Completed);
    CHECK_EQUAL(0, bench.countAtPrimary("x"));
    CHECK_EQUAL(1, bench.countAtPrimary("y"));

    std::optional<Outcome> afterRollback;
    Request staleRequest = makeBookingRequest("x", false);
    staleRequest.action = TransactionAction::Continue;
    staleRequest.transaction = ids[0];
    bench.run(1, staleRequest, [&](const CallerResponse& answer) { afterRollback = answer.outcome; });
    bench.advance(std::chrono::milliseconds(500));
    CHECK(afterRollback->reason == NotRunReason::TransactionGone);
}

TEST(Traffic, commitsTransactionsAtomicallyUnderFaults)
{
    int numCommitted = 0;
    for (std::uint64_t seed = 1; seed <= numSeeds; seed++) {
        TrafficBench bench(seed, BenchFaults { 8, 8, 10, 4, 4, false });
        std::map<std::string, OutcomeKind> outcomes;
        for (int count = 0; count < 6; count++) {
            std::string name = "t" + std::to_string(count);
            std::optional<CallerResponse> answer;
            RequestFlow::ResponseHandler storeAnswer = [&answer](const CallerResponse& received) { answer = received; };
            Request begin = makeBookingRequest(name + "-first", false);
            begin.action = TransactionAction::Begin;
            bench.run(0, begin, storeAnswer);
            bench.advance(std::chrono::seconds(4));
            TransactionId id = answer ? answer->transaction : TransactionId();
            if (id.isEmpty()) {
                outcomes[name] = OutcomeKind::NotRun;
            } else {
                Request commit = makeBookingRequest(name + "-second", false);
                commit.action = TransactionAction::Commit;
                commit.transaction = id;
                bench.run(1, commit, storeAnswer);
                bench.advance(std::chrono::seconds(4));
                outcomes[name] = answer->outcome.kind;
            }
            // A transaction that is still open exceeds its idle limit before the next one begins.
            bench.advance(std::chrono::seconds(8));
        }
        bench.stopFaults();
        for (const std::pair<const std::string, OutcomeKind>& entry : outcomes) {
            int first = bench.countAtPrimary(entry.first + "-first");
            int second = bench.countAtPrimary(entry.first + "-second");
            bool isAtomic = first == second && first <= 1;
            bool isOutcomeCorrect = entry.second == OutcomeKind::Unknown || first == (entry.second == OutcomeKind::Completed ? 1 : 0);
            if (!isAtomic || !isOutcomeCorrect)
                FAIL(("seed " + std::to_string(seed) + ": " + entry.first + " stands " + std::to_string(first) + " and " + std::to_string(second) + " times").c_str());
            numCommitted += entry.second == OutcomeKind::Completed ? 1 : 0;
        }
    }
    CHECK(numCommitted > 100);
}
