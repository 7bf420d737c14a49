#include "../../platform/LineProtocol.h"
#include "../../src/traffic/PrimaryVerificationRounds.h"
#include "lentiljunction/leadership/PrimaryVerification.h"

#include <CppUTest/TestHarness.h>

#include <deque>

using namespace lentiljunction;

namespace {

/// An instance without a valid lease in front of u1 (the primary in the record), u2 and u3, which respond to status
/// queries when the test says so.
class VerifyingInstance : private UpstreamPool::Listener, private UpstreamPool::Connector {
public:
    VerifyingInstance()
        : state({ this->loop, this->clock, this->protocol, InstanceId("front-1"), *this, this }, ZoneId("z1"))
        , rounds(this->protocol, this->state)
    {
        this->state.setVerifier(this->rounds);
        for (const char* id : { "u1", "u2", "u3" })
            this->list(id, 0);
        this->entry = { PrimaryPhase::Stable, UpstreamId("u1"), 1, { Term(1), Position(7) }, Term(2), StoreEra(1) };
        this->publish(Duration(0));
        this->statuses = { { "u1", "primary 2 2.9" }, { "u2", "replica 2 2.9" }, { "u3", "replica 2 2.9" } };
    }

    void list(const std::string& id, std::int64_t startedAt)
    {
        UpstreamEntry upstream;
        upstream.id = UpstreamId(id);
        upstream.group = this->group;
        upstream.zone = ZoneId("z1");
        upstream.startedAt = WallTime(std::chrono::seconds(startedAt));
        this->upstreams.entries[upstream.id] = upstream;
        this->state.setUpstreams(std::make_shared<UpstreamList>(this->upstreams));
    }

    void unlist(const std::string& id)
    {
        this->upstreams.entries.erase(UpstreamId(id));
        this->state.setUpstreams(std::make_shared<UpstreamList>(this->upstreams));
    }

    /// Publishes the entry as a newer record.
    void publish(Duration lease)
    {
        std::shared_ptr<PrimaryRecord> record = std::make_shared<PrimaryRecord>();
        record->era = StoreEra(1);
        record->groups[this->group] = this->entry;
        PrimaryView view { { record, StoreVersion(++this->revision), StoreEra(1) }, this->clock.bootNow() + lease };
        this->state.setPrimaryView(view);
    }

    PrimaryTenure getPrimary() const { return { this->entry.primary, this->entry.generation }; }

    /// Requests a verification; its result appears in `results`.
    void request()
    {
        this->rounds.verify(this->group, this->getPrimary(), [this](bool isVerified) { this->results.push_back(isVerified); });
    }

    /// Opens connections and answers queries until nothing is left that an upstream with a status can answer.
    void settle()
    {
        for (int count = 0; count < 100; count++) {
            for (Connection* connection : std::exchange(this->opening, {}))
                connection->listener.onConnectionReady(*connection);
            std::deque<Query> all = std::exchange(this->queries, {});
            for (Query& query : all) {
                std::map<std::string, std::string>::const_iterator status = this->statuses.find(query.upstream);
                if (status == this->statuses.end()) {
                    this->queries.push_back(std::move(query));
                    continue;
                }
                this->numAnswered[query.upstream]++;
                SessionReply reply;
                reply.rows.add(status->second + " 0 0 0 0");
                query.callback(reply);
            }
        }
    }

    /// @returns whether a verification that is requested now succeeds
    bool verify()
    {
        std::size_t before = this->results.size();
        this->request();
        this->settle();
        return this->results.size() == before + 1 && this->results.back();
    }

    GroupId group { "g" };
    PrimaryEntry entry;
    std::map<std::string, std::string> statuses;
    std::map<std::string, int> numAnswered;
    std::vector<bool> results;
    ManualClock clock;
    EventLoop loop;
    LineProtocol protocol;

private:
    struct Query {
        std::string upstream;
        StatementConnection::ReplyCallback callback;
    };

    class Connection : public UpstreamConnection {
    public:
        Connection(VerifyingInstance& owner, UpstreamId upstream, Listener& newListener)
            : listener(newListener)
            , owner(owner)
            , upstream(std::move(upstream))
        {
        }

        void send(const UpstreamCommand& command, ReplyCallback callback) override { this->sendEncoded(command.argument, std::move(callback)); }
        void sendEncoded(const std::string&, ReplyCallback callback) override { this->owner.queries.push_back({ this->upstream.toString(), std::move(callback) }); }
        void failAsSilent() override { }
        void close() override { }
        bool hasNoPendingReply() const override { return true; }
        std::optional<TimePoint> getPendingSince() const override { return std::nullopt; }
        const UpstreamId& getUpstream() const override { return this->upstream; }

        Listener& listener;

    private:
        VerifyingInstance& owner;
        UpstreamId upstream;
    };

    std::unique_ptr<UpstreamConnection> open(const UpstreamEntry& upstream, const std::string&, Duration, UpstreamConnection::Listener& listener) override
    {
        std::unique_ptr<Connection> connection = std::make_unique<Connection>(*this, upstream.id, listener);
        this->opening.push_back(connection.get());
        return connection;
    }
    void onUpstreamUnreachable(const UpstreamEntry&, UpstreamConnection::LossCause) override { }

    std::deque<Query> queries;
    std::vector<Connection*> opening;
    UpstreamList upstreams;
    std::uint64_t revision = 1;

public:
    TrafficState state;
    PrimaryVerificationRounds rounds;
};

} // namespace

TEST_GROUP(VerifyingUpstreams)
{
    void setup() override
    {
        for (const char* id : { "u1", "u2", "u3" }) {
            list.entries[UpstreamId(id)].id = UpstreamId(id);
            list.entries[UpstreamId(id)].group = group;
        }
        list.entries[UpstreamId("v1")].group = GroupId("other");
    }

    static OpenPromotion call(const std::string& upstream) { return { UpstreamId(upstream), FencingToken(1), 0 }; }
    static ReplicationStatus leads(std::uint64_t term) { return { true, Term(term), {} }; }
    static ReplicationStatus follows(std::uint64_t term) { return { false, Term(term), {} }; }

    GroupId group { "g" };
    UpstreamId primary { "u1" };
    UpstreamList list;
};

// Guards against a primary that is verified by part of its group.
TEST(VerifyingUpstreams, areAllOthersOfTheGroupWithoutLease)
{
    std::set<UpstreamId> others { UpstreamId("u2"), UpstreamId("u3") };
    CHECK(findVerificationScope(group, primary, list, {}, false)->required == others);
    CHECK(findVerificationScope(group, primary, list, { call("u2") }, false)->required == others);
    CHECK_FALSE(isPrimaryVerified(*findVerificationScope(group, primary, {}, {}, false), leads(3), {}));
}

// Under a lease, only an open call can have replaced the primary. Guards against a group without a primary because an upstream
// that nobody called does not respond.
TEST(VerifyingUpstreams, areThoseThatWereCalledUnderLease)
{
    std::optional<VerificationScope> scope = findVerificationScope(group, primary, list, { call("u2") }, true);
    CHECK(scope->required == std::set<UpstreamId> { UpstreamId("u2") });
    CHECK_TRUE(isPrimaryVerified(*scope, leads(3), { { UpstreamId("u2"), follows(3) } }));
    CHECK_FALSE(isPrimaryVerified(*scope, leads(3), {}));
    CHECK_FALSE(isPrimaryVerified(*scope, leads(3), { { UpstreamId("u2"), std::nullopt } }));
    CHECK_FALSE(isPrimaryVerified(*scope, leads(3), { { UpstreamId("u2"), leads(4) } }));
}

// Guards against an upstream that a late call promotes while no one asks it: the list lacks it, and the others have not
// heard of its term.
TEST(VerifyingUpstreams, doNotSufficeWhenOneThatWasCalledIsNotListed)
{
    for (bool isLeased : { false, true }) {
        CHECK_FALSE(findVerificationScope(group, primary, list, { call("u4") }, isLeased).has_value());
        // An upstream of another group is not the one that was called.
        CHECK_FALSE(findVerificationScope(group, primary, list, { call("v1") }, isLeased).has_value());
    }
}

TEST_GROUP(VerificationRounds)
{
    VerifyingInstance instance;
};

// Guards against answers of a primary that a late promotion call for an unlisted upstream has replaced.
TEST(VerificationRounds, failAtOnceWhileUpstreamThatWasCalledIsNotListed)
{
    instance.entry.openPromotions = { { UpstreamId("u4"), FencingToken(1), 0 } };
    instance.publish(std::chrono::seconds(1));
    instance.request();
    CHECK(instance.results == std::vector<bool> { false });
    instance.list("u4", 0);
    instance.statuses["u4"] = "replica 2 2.9";
    CHECK_TRUE(instance.verify());
    LONGS_EQUAL(1, instance.numAnswered["u4"]);
    instance.statuses["u4"] = "primary 3 2.9";
    CHECK_FALSE(instance.verify());
}

// Guards against statements that are held, or sent and left in doubt, although no verification is possible.
TEST(VerificationRounds, refuseWithTimeOfReturnWhileUpstreamThatWasCalledIsNotListed)
{
    CHECK_TRUE(instance.verify());
    CHECK_TRUE(instance.state.decidePrimary(instance.group).isUsable());
    instance.entry.openPromotions = { { UpstreamId("u4"), FencingToken(1), 0 } };
    instance.publish(std::chrono::seconds(1));
    CHECK_FALSE(instance.state.decidePrimary(instance.group).isUsable());
    instance.state.setPrimaryUsable(instance.group, false);
    CHECK(instance.state.getExpectedReturn(instance.group) == instance.clock.now() + std::chrono::seconds(8));
}

// Guards against a round that passes because the list learnt of an upstream only after the queries were sent.
TEST(VerificationRounds, failWhenUpstreamIsListedAfterTheQueries)
{
    instance.request();
    instance.list("u4", 0);
    instance.settle();
    CHECK(instance.results == std::vector<bool> { false });
}

// Guards against a remembered status that verifies the process that was restarted under the same id, perhaps as a replica.
TEST(VerificationRounds, askThePrimaryAgainAfterItsRestart)
{
    CHECK_TRUE(instance.verify());
    CHECK_TRUE(instance.verify());
    LONGS_EQUAL(1, instance.numAnswered["u1"]);
    instance.statuses["u1"] = "replica 2 2.9";
    instance.list("u1", 50);
    CHECK_FALSE(instance.verify());
    LONGS_EQUAL(2, instance.numAnswered["u1"]);
}

// Guards against the answers of a primary that was replaced and leads again: they may be from before its return. Also guards
// against a remembered term that fails every later round.
TEST(VerificationRounds, failOnceWhenPrimaryReturnsInLaterTerm)
{
    CHECK_TRUE(instance.verify());
    instance.statuses = { { "u1", "primary 4 4.9" }, { "u2", "replica 4 4.9" }, { "u3", "replica 4 4.9" } };
    instance.request();
    // Answered while the round that finds the new term runs.
    instance.request();
    instance.settle();
    CHECK((instance.results == std::vector<bool> { true, false, false }));
    CHECK_TRUE(instance.verify());
}

// The same without a remembered status: the record names the term in which the primary was promoted.
TEST(VerificationRounds, failOnceWhenPrimaryLeadsLaterTermThanItsRecord)
{
    instance.statuses = { { "u1", "primary 4 4.9" }, { "u2", "replica 4 4.9" }, { "u3", "replica 4 4.9" } };
    CHECK_FALSE(instance.verify());
    CHECK_TRUE(instance.verify());
}

// Guards against a primary that stepped down and is verified by its remembered status, while no other knows its successor.
TEST(VerificationRounds, forgetThePrimaryThatReportsAsReplica)
{
    CHECK_TRUE(instance.verify());
    instance.statuses["u1"] = "replica 2 2.9";
    instance.statuses["u2"] = "replica 3 2.9";
    CHECK_FALSE(instance.verify());
    instance.statuses["u2"] = "replica 2 2.9";
    CHECK_FALSE(instance.verify());
}

// Guards against responses to queries that were sent before the answer that they verify.
TEST(VerificationRounds, queryAgainForAnswerThatArrivesDuringRound)
{
    CHECK_TRUE(instance.verify());
    instance.request();
    instance.request();
    int before = instance.numAnswered["u2"];
    instance.settle();
    LONGS_EQUAL(2, instance.numAnswered["u2"] - before);
}

// Guards against a failover gap that grows by the round for the former primary, which waits for an upstream that is down.
TEST(VerificationRounds, startAtOnceForNewPrimary)
{
    instance.statuses.erase("u1");
    instance.request();
    instance.request();
    instance.settle();
    CHECK(instance.results.empty());
    instance.entry = { PrimaryPhase::Stable, UpstreamId("u2"), 2, { Term(2), Position(9) }, Term(3), StoreEra(1) };
    instance.unlist("u1");
    instance.publish(Duration(0));
    instance.statuses = { { "u2", "primary 3 2.9" }, { "u3", "replica 3 2.9" } };
    instance.request();
    instance.settle();
    CHECK((instance.results == std::vector<bool> { false, false, true }));
}

TEST_GROUP(NewerTerm)
{
    void setup() override
    {
        instance.state.setNewerTermHandler([this](const GroupId&, const UpstreamId& upstream, Term term, const NewerTermDetector::Action& action) {
            numVerifications += action.mustVerify ? 1 : 0;
            if (action.mustReport)
                reports.emplace_back(upstream.toString(), term.value());
        });
        instance.publish(std::chrono::seconds(5));
    }

    void onHead(const char* upstream, std::uint64_t term) { instance.state.onHead(UpstreamId(upstream), { Term(term), Position(12) }, instance.clock.bootNow()); }

    using Reports = std::vector<std::pair<std::string, std::uint64_t>>;

    VerifyingInstance instance;
    Reports reports;
    int numVerifications = 0;
};

// Guards against acknowledgements under a lease at a primary that a promotion without the record has replaced.
TEST(NewerTerm, withdrawsLeaseUntilTheRecordNamesIt)
{
    CHECK_TRUE(instance.state.hasValidLease(instance.group));
    onHead("u3", 3);
    CHECK_FALSE(instance.state.hasValidLease(instance.group));
    CHECK_FALSE(instance.state.decidePrimary(instance.group).isUsable());
    CHECK(reports == (Reports { { "u3", 3 } }));
    LONGS_EQUAL(1, numVerifications);
    instance.entry.generation = 2;
    instance.publish(std::chrono::seconds(5));
    CHECK_FALSE(instance.state.hasValidLease(instance.group));
    instance.entry = { PrimaryPhase::Stable, UpstreamId("u2"), 3, { Term(2), Position(9) }, Term(3), StoreEra(1) };
    instance.publish(std::chrono::seconds(5));
    CHECK_TRUE(instance.state.hasValidLease(instance.group));
}

// Guards against a control thread that each reply of a busy group wakes.
TEST(NewerTerm, isReportedOnceInAWhile)
{
    for (int count = 0; count < 50; count++)
        onHead("u3", 3);
    LONGS_EQUAL(1, reports.size());
    instance.clock.advance(std::chrono::milliseconds(120));
    onHead("u2", 3);
    LONGS_EQUAL(2, reports.size());
}

// Guards against false alarms in a normal failover, in which the terms rise while the record says that it changes.
TEST(NewerTerm, isNoneInFailover)
{
    instance.entry.phase = PrimaryPhase::Changing;
    instance.publish(std::chrono::seconds(5));
    onHead("u2", 3);
    onHead("u3", 3);
    instance.entry = { PrimaryPhase::Stable, UpstreamId("u2"), 2, { Term(2), Position(9) }, Term(3), StoreEra(1) };
    instance.publish(std::chrono::seconds(5));
    onHead("u2", 3);
    onHead("u1", 2);
    CHECK_TRUE(instance.state.hasValidLease(instance.group));
    CHECK(reports.empty());
    LONGS_EQUAL(0, numVerifications);
}

// Guards against alarms of an instance that merely knows an old record, or a restored one that was not confirmed yet.
TEST(NewerTerm, isNotReportedWithoutLeaseOrConfirmedEntry)
{
    instance.publish(Duration(0));
    onHead("u3", 3);
    CHECK(reports.empty());
    instance.entry.era = StoreEra(0);
    instance.publish(std::chrono::seconds(5));
    instance.clock.advance(std::chrono::seconds(1));
    onHead("u3", 3);
    CHECK(reports.empty());
    CHECK_FALSE(instance.state.hasValidLease(instance.group));
}

// Guards against a group that loses its lease because its entry names no term to compare with.
TEST(NewerTerm, isNoneWithoutTermInTheRecord)
{
    instance.entry.term = Term();
    instance.publish(std::chrono::seconds(5));
    onHead("u3", 1);
    CHECK_TRUE(instance.state.hasValidLease(instance.group));
    CHECK(reports.empty());
    CHECK_TRUE(instance.verify());
}

// Guards against a primary that stays without a lease for ever because it leads a later term than its record names.
TEST(NewerTerm, ofThePrimaryItselfCountsOnceItIsVerified)
{
    onHead("u1", 4);
    CHECK_FALSE(instance.state.hasValidLease(instance.group));
    LONGS_EQUAL(1, numVerifications);
    instance.statuses = { { "u1", "primary 4 4.9" }, { "u2", "replica 4 4.9" }, { "u3", "replica 4 4.9" } };
    CHECK_FALSE(instance.verify());
    CHECK_TRUE(instance.verify());
    CHECK_TRUE(instance.state.hasValidLease(instance.group));
    CHECK(reports.empty());
    onHead("u3", 5);
    CHECK_FALSE(instance.state.hasValidLease(instance.group));
    CHECK(reports == (Reports { { "u3", 5 } }));
}

// Guards against terms that only the status of an upstream shows: its log has no entry of the new term yet.
TEST(NewerTerm, isSeenInStatus)
{
    instance.entry.openPromotions = { { UpstreamId("u3"), FencingToken(1), 0 } };
    instance.publish(std::chrono::seconds(5));
    instance.statuses["u3"] = "primary 3 2.9";
    CHECK_FALSE(instance.verify());
    instance.entry.openPromotions.clear();
    instance.publish(std::chrono::seconds(5));
    CHECK_FALSE(instance.state.hasValidLease(instance.group));
    CHECK(reports == (Reports { { "u3", 3 } }));
}
