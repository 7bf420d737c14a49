#include "../support/NullApplier.h"
#include "lentiljunction/confirmation/FreshnessHistory.h"
#include "lentiljunction/core/Random.h"
#include "server/GroupState.h"

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

constexpr std::uint64_t numSeeds = 1000;
constexpr int numSteps = 200;

/// Simulates a group whose primary changes while status reports are delayed. Records when the current
/// primary wrote each entry, from which the actual age of every log follows.
class FreshnessModel {
public:
    explicit FreshnessModel(std::uint64_t seed)
        : random(seed)
        , history(2)
    {
        for (int index = 0; index < 3; index++)
            this->logs.push_back(std::make_unique<standins::DatabaseLog>(this->data));
        this->logs[0]->bootstrap(Term(1));
        this->recordWrite(0);
    }

    /// @returns whether every proved age is at least the actual age
    bool run()
    {
        for (int count = 0; count < numSteps; count++) {
            this->now += std::chrono::milliseconds(1);
            this->step();
            for (std::unique_ptr<standins::DatabaseLog>& log : this->logs) {
                if (!this->isAgeBoundCorrect(log->getStatus()))
                    return false;
            }
        }
        return true;
    }

    int numProved = 0;

private:
    void step()
    {
        std::size_t member = this->random.below(3);
        switch (this->random.below(8)) {
        case 0:
        case 1:
            if (this->logs[member]->commit({ "write" }, [] {}))
                this->recordWrite(member);
            break;
        case 2:
        case 3:
            this->replicate(member, this->random.below(3));
            break;
        case 4:
        case 5: {
            TimePoint requestedAt = this->now;
            this->reports.push_back({ member, this->logs[member]->getStatus(), requestedAt });
            break;
        }
        case 6:
            this->deliver();
            break;
        default:
            if (this->random.below(12) == 0)
                this->promote(member);
        }
    }

    void promote(std::size_t member)
    {
        Term term = this->highest.next();
        std::size_t other = (member + 1 + this->random.below(2)) % 3;
        UpstreamStatus own = this->logs[member]->fence(term);
        UpstreamStatus second = this->logs[other]->fence(term);
        this->highest = term;
        std::size_t winner = own.head < second.head ? other : member;
        this->logs[winner]->promote(term);
        this->primarySince[term] = this->now;
        this->recordWrite(winner);
    }

    void replicate(std::size_t from, std::size_t to)
    {
        if (from == to)
            return;
        for (std::uint64_t begin = this->logs[to]->getStatus().head.position.value() + 1; begin > 0; begin--) {
            std::optional<standins::ReplicationBatch> batch = this->logs[from]->getBatch(Position(begin - 1), std::chrono::milliseconds(0));
            if (!batch)
                return;
            standins::ReplicationReply reply = this->logs[to]->receive(*batch);
            if (!reply.isAccepted || reply.matched == batch->previous.position || !batch->entries.empty())
                return;
        }
    }

    void deliver()
    {
        if (this->reports.empty())
            return;
        std::size_t index = this->random.below(this->reports.size());
        Report report = this->reports[index];
        this->reports.erase(this->reports.begin() + static_cast<std::ptrdiff_t>(index));
        this->history.onStatus(UpstreamId(std::to_string(report.member)), report.status, report.requestedAt);
    }

    /// Records the last entry, unless a newer primary exists: only writes of the primary with the highest term
    /// can be acknowledged.
    void recordWrite(std::size_t member)
    {
        UpstreamStatus status = this->logs[member]->getStatus();
        if (status.head.term == this->highest)
            this->acknowledged.push_back({ status.head, this->now });
    }

    bool isAgeBoundCorrect(const UpstreamStatus& status)
    {
        std::optional<Duration> age = this->history.getAge(status, this->now);
        if (!age)
            return true;
        this->numProved++;
        for (const Acknowledged& write : this->acknowledged) {
            bool isOlderThanAge = write.time + *age < this->now;
            bool isSuperseded = this->primarySince.upper_bound(write.point.term) != this->primarySince.end();
            if (isOlderThanAge && !isSuperseded && status.getCoverage(write.point) != Coverage::Covered)
                return false;
        }
        return true;
    }

    struct Report {
        std::size_t member;
        UpstreamStatus status;
        TimePoint requestedAt;
    };

    struct Acknowledged {
        LogPoint point;
        TimePoint time;
    };

    Random random;
    tests::NullApplier data;
    FreshnessHistory history;
    std::vector<std::unique_ptr<standins::DatabaseLog>> logs;
    std::vector<Report> reports;
    std::vector<Acknowledged> acknowledged;
    std::map<Term, TimePoint> primarySince;
    Term highest { 1 };
    TimePoint now { std::chrono::hours(1) };
};

} // namespace

TEST_GROUP(FreshnessHistory) {};

TEST(FreshnessHistory, neverProvesAgeBelowActualAge)
{
    int numProved = 0;
    for (std::uint64_t seed = 1; seed <= numSeeds; seed++) {
        FreshnessModel model(seed);
        if (!model.run())
            FAIL(("seed " + std::to_string(seed)).c_str());
        numProved += model.numProved;
    }
    CHECK(numProved > 10000);
}

TEST(FreshnessHistory, provesNoAgeWithoutMajority)
{
    FreshnessHistory history(2);
    TimePoint now(std::chrono::hours(1));
    UpstreamStatus primary;
    primary.isPrimary = true;
    primary.fencedTerm = Term(1);
    primary.head = { Term(1), Position(4) };
    primary.history.append({ Term(1), Position(1) });
    history.onStatus(UpstreamId("u1"), primary, now);
    CHECK_FALSE(history.getAge(primary, now).has_value());

    UpstreamStatus replica = primary;
    replica.isPrimary = false;
    history.onStatus(UpstreamId("u2"), replica, now - std::chrono::milliseconds(30));
    CHECK(*history.getAge(primary, now) == std::chrono::milliseconds(30));
}

TEST(FreshnessHistory, commitStatusDoesNotLowerProvenAge)
{
    // Another write may be acknowledged between the reading of that status and its arrival.
    DatabaseConfig database;
    database.upstreams.resize(3);
    GroupState group(database);
    TimePoint sentAt(std::chrono::hours(1));
    TimePoint arrivedAt = sentAt + std::chrono::milliseconds(20);
    UpstreamStatus primary;
    primary.isPrimary = true;
    primary.fencedTerm = Term(1);
    primary.head = { Term(1), Position(4) };
    primary.history.append({ Term(1), Position(1) });
    UpstreamStatus replica = primary;
    replica.isPrimary = false;

    group.onStatus(UpstreamId("u1"), primary, sentAt);
    group.onStatus(UpstreamId("u2"), replica, arrivedAt);
    group.onCommitStatus(UpstreamId("u1"), primary, arrivedAt);
    group.onStatus(UpstreamId("u2"), replica, arrivedAt);
    CHECK(*group.getAge(primary, arrivedAt) == std::chrono::milliseconds(20));
}
