#include "TrafficBench.h"

#include "EngineConnection.h"
#include "SampleBundle.h"

#include <algorithm>
#include <cstdlib>

namespace lentiljunction::tests {

namespace {

    constexpr std::size_t numInstances = 3;
    constexpr std::size_t numEngines = 3;
    constexpr Duration tick = std::chrono::milliseconds(5);
    constexpr Duration openTime = std::chrono::milliseconds(10);
    constexpr Duration lockPoll = std::chrono::milliseconds(1);
    const DatabaseId databaseId("db-0");

    std::shared_ptr<const Bundle> makeBundle()
    {
        std::map<std::string, KeyPair> operators { { "ayse", createKeyPair() } };
        Failure failure;
        return std::make_shared<const Bundle>(*parseBundle(makeSampleBundle(1, operators, 1, 1), failure));
    }

    MemberList makeMembers()
    {
        MemberList members;
        for (std::size_t index = 0; index < numInstances; index++)
            members.push_back({ InstanceId("i" + std::to_string(index)), ZoneId("z" + std::to_string(index + 1)), { "127.0.0.1", 1 }, MemberState::Alive, Incarnation(1) });
        return members;
    }

} // namespace

/// A connection that runs statement batches on an engine after a delay.
class TrafficBench::FakeConnection : public SqlConnection {
public:
    FakeConnection(TrafficBench& bench, standins::SqlEngine& engine)
        : bench(bench)
        , state(std::make_shared<State>(engine))
    {
        this->state->isSilent = bench.isDrawn(bench.faults.silentConnections);
    }

    ~FakeConnection() override { this->state->shutDown(); }

    void open(Duration, OpenHandler handler) override
    {
        this->bench.scheduler.schedule(openTime, [handler] { handler(true); });
    }

    void execute(const std::string& sql, Duration timeout, ReplyHandler handler) override
    {
        std::shared_ptr<State> current = this->state;
        std::uint64_t exchange = ++current->exchange;
        current->handler = std::move(handler);
        this->bench.scheduler.schedule(timeout, [current, exchange] { current->finish(exchange, makeLost(true)); });
        if (current->isSilent)
            return;

        bool breaksBefore = this->bench.isDrawn(this->bench.faults.brokenConnections);
        bool breaksAfter = this->bench.isDrawn(this->bench.faults.brokenConnections);
        TrafficBench* owner = &this->bench;
        this->bench.scheduler.schedule(this->bench.drawDelay() / 4, [owner, current, exchange, sql, breaksBefore, breaksAfter] {
            if (breaksBefore)
                current->breakDown(exchange);
            else
                runBatch(*owner, current, exchange, sql, breaksAfter);
        });
    }

    void close() override { this->state->breakDown(this->state->exchange); }

private:
    struct State {
        explicit State(standins::SqlEngine& engine)
            : engine(engine)
        {
        }

        void finish(std::uint64_t of, const SqlReply& reply)
        {
            if (of != this->exchange || !this->handler)
                return;
            ReplyHandler current = std::exchange(this->handler, nullptr);
            if (reply.status == SqlReply::Status::Lost)
                this->shutDown();
            current(reply);
        }

        void breakDown(std::uint64_t of)
        {
            this->shutDown();
            this->finish(of, makeLost(false));
        }

        void shutDown()
        {
            if (!this->isClosed)
                this->engine.abandon(this->session);
            this->isClosed = true;
        }

        standins::SqlEngine& engine;
        standins::SessionState session;
        ReplyHandler handler;
        std::uint64_t exchange = 0;
        bool isSilent = false;
        bool isClosed = false;
    };

    static SqlReply makeLost(bool isSilent)
    {
        SqlReply reply;
        reply.isSilent = isSilent;
        return reply;
    }

    static void runBatch(TrafficBench& bench, const std::shared_ptr<State>& state, std::uint64_t exchange, const std::string& sql, bool breaksAfter)
    {
        if (state->isClosed)
            return;
        bool mustWait = !state->session.holdsLock && state->engine.isDataLocked();
        if (mustWait) {
            bench.scheduler.schedule(lockPoll, [&bench, state, exchange, sql, breaksAfter] { runBatch(bench, state, exchange, sql, breaksAfter); });
            return;
        }

        SqlReply reply;
        reply.status = SqlReply::Status::Completed;
        for (const std::string& statement : standins::splitBatch(sql)) {
            standins::StatementResult result = state->engine.execute(state->session, statement);
            if (result.error) {
                reply.status = SqlReply::Status::Failed;
                reply.error = *result.error;
                break;
            }
            reply.results.push_back(result.rows);
        }
        if (breaksAfter)
            state->breakDown(exchange);
        else
            bench.scheduler.schedule(bench.drawDelay() / 4, [state, exchange, reply] { state->finish(exchange, reply); });
    }

    TrafficBench& bench;
    std::shared_ptr<State> state;
};

class TrafficBench::FakeConnector : public SqlConnector {
public:
    explicit FakeConnector(TrafficBench& bench)
        : bench(bench)
    {
    }

    std::unique_ptr<SqlConnection> create(const UpstreamConfig& upstream) override
    {
        std::size_t index = static_cast<std::size_t>(std::find(this->bench.ids.begin(), this->bench.ids.end(), upstream.id) - this->bench.ids.begin());
        return std::make_unique<FakeConnection>(this->bench, *this->bench.engines[index]);
    }

private:
    TrafficBench& bench;
};

/// The request handling of one instance. Its links lose, repeat and reorder messages.
struct TrafficBench::Instance : public RequestFlow::GateChannel {
    Instance(TrafficBench& newBench, std::size_t index)
        : bench(newBench)
        , id("i" + std::to_string(index))
        , gates(UpstreamGate::Dependencies { bench.scheduler, bench.clock, bench.metrics, *bench.connector, id, [](const DatabaseId&) {} })
        , flow(bench.scheduler, bench.clock, bench.metrics, *this, ZoneId("z" + std::to_string(index + 1)), index + 1)
    {
    }

    bool sendToGate(const InstanceId& gate, const HopRequest& hop) override
    {
        Instance* receiver = this->bench.instances[static_cast<std::size_t>(gate.toString()[1] - '0')].get();
        bool isLost = receiver != this && this->bench.isDrawn(this->bench.faults.lostHops);
        if (isLost) {
            this->bench.scheduler.schedule(std::chrono::milliseconds(400), [this, gate, hop] { this->flow.onPeerLost(gate, {}); });
            return true;
        }
        this->bench.scheduler.schedule(this->bench.drawDelay(), [this, receiver, hop] {
            receiver->gates.execute(hop, [this, receiver](const HopResponse& answer) { this->deliver(receiver, answer); });
        });
        return true;
    }

    bool isAvoided(const InstanceId&) const override { return false; }

    void deliver(const Instance* from, const HopResponse& answer)
    {
        bool isLost = from != this && this->bench.isDrawn(this->bench.faults.lostAnswers);
        if (isLost) {
            this->bench.scheduler.schedule(std::chrono::milliseconds(400), [this, gate = from->id] { this->flow.onPeerLost(gate, {}); });
            return;
        }
        int numCopies = this->bench.isDrawn(this->bench.faults.repeatedAnswers) ? 2 : 1;
        for (int count = 0; count < numCopies; count++)
            this->bench.scheduler.schedule(this->bench.drawDelay(), [this, answer] { this->flow.onHopAnswer(answer); });
    }

    TrafficBench& bench;
    InstanceId id;
    GateService gates;
    RequestFlow flow;
};

TrafficBench::TrafficBench(std::uint64_t seed, BenchFaults faults)
    : random(seed)
    , faults(faults)
    , bundle(makeBundle())
    , connector(std::make_unique<FakeConnector>(*this))
{
    for (const UpstreamConfig& upstream : this->bundle->findDatabase(databaseId)->upstreams)
        this->ids.push_back(upstream.id);
    this->engines.push_back(makePrimaryEngine());
    for (std::size_t index = 1; index < numEngines; index++)
        this->engines.push_back(std::make_unique<standins::SqlEngine>(2, std::chrono::microseconds(0)));

    std::shared_ptr<const GateMap> gates = std::make_shared<const GateMap>(makeMembers(), *this->bundle);
    for (std::size_t index = 0; index < numInstances; index++) {
        this->instances.push_back(std::make_unique<Instance>(*this, index));
        this->instances.back()->gates.setBundle(this->bundle);
        this->instances.back()->gates.setGates(gates);
        this->instances.back()->flow.setBundle(this->bundle);
        this->instances.back()->flow.setGates(gates);
    }
    std::shared_ptr<std::function<void()>> runTick = std::make_shared<std::function<void()>>();
    *runTick = [this, runTick] {
        this->replicate();
        this->probeAll();
        for (std::unique_ptr<Instance>& instance : this->instances) {
            instance->gates.onTick();
            instance->flow.onTick();
        }
        this->scheduler.schedule(tick, *runTick);
    };
    this->scheduler.post(*runTick);
    this->advance(std::chrono::milliseconds(50));
}

TrafficBench::~TrafficBench() = default;

void TrafficBench::run(std::size_t instance, Request request, RequestFlow::ResponseHandler handler)
{
    this->instances[instance]->flow.run(std::move(request), std::move(handler));
}

void TrafficBench::stopFaults()
{
    this->faults = BenchFaults();
    this->advance(std::chrono::seconds(3));
}

void TrafficBench::changePrimary()
{
    this->highest = this->highest.next();
    std::size_t cutOff = this->findPrimary();
    std::size_t winner = (cutOff + 1) % numEngines;
    for (std::size_t index = 0; index < numEngines; index++) {
        // The old primary is partitioned, so it is fenced only when replication reaches it again.
        if (index == cutOff)
            continue;
        UpstreamStatus status = this->engines[index]->getLog().fence(this->highest);
        if (this->engines[winner]->getLog().getStatus().head < status.head)
            winner = index;
    }
    this->engines[winner]->getLog().promote(this->highest);
}

int TrafficBench::countAtPrimary(const std::string& booking)
{
    return countBookings(*this->engines[this->findPrimary()], booking);
}

int TrafficBench::countKeys()
{
    standins::SessionState session;
    standins::StatementResult result = this->engines[this->findPrimary()]->execute(session, "SELECT count(*) FROM lentiljunction_keys");
    return std::atoi(result.rows.rows.front().front()->c_str());
}

void TrafficBench::setLeaving(std::size_t engine, bool areEntryInstancesNotified)
{
    for (std::unique_ptr<Instance>& instance : this->instances) {
        instance->gates.setLeaving({ this->ids[engine] });
        if (areEntryInstancesNotified)
            instance->flow.setLeaving({ this->ids[engine] });
    }
}

void TrafficBench::replicate()
{
    std::size_t primary = this->findPrimary();
    for (std::size_t index = 0; index < numEngines; index++) {
        bool isSkipped = index == primary || this->engines[index]->isDataLocked() || this->random.below(4) == 0;
        if (isSkipped)
            continue;
        for (std::uint64_t begin = this->engines[index]->getLog().getStatus().head.position.value() + 1; begin > 0; begin--) {
            std::optional<standins::ReplicationBatch> batch = this->engines[primary]->getLog().getBatch(Position(begin - 1), std::chrono::milliseconds(0));
            standins::ReplicationReply reply = this->engines[index]->getLog().receive(*batch);
            if (!reply.isAccepted || reply.matched.value() >= begin - 1)
                break;
        }
    }
}

void TrafficBench::probeAll()
{
    TimePoint requestedAt = this->clock.now();
    for (std::size_t index = 0; index < numEngines; index++) {
        UpstreamStatus status = this->engines[index]->getLog().getStatus();
        for (std::unique_ptr<Instance>& instance : this->instances) {
            Instance* receiver = instance.get();
            this->scheduler.schedule(this->drawDelay(), [this, receiver, index, status, requestedAt] { receiver->gates.onStatus(databaseId, this->ids[index], status, requestedAt); });
        }
    }
}

std::size_t TrafficBench::findPrimary()
{
    std::size_t primary = 0;
    Term best;
    for (std::size_t index = 0; index < numEngines; index++) {
        UpstreamStatus status = this->engines[index]->getLog().getStatus();
        if (!status.isPrimary || status.head.term < best)
            continue;
        best = status.head.term;
        primary = index;
    }
    return primary;
}

Request makeBookingRequest(const std::string& id, bool isKeyed)
{
    Request request;
    request.id = RequestId(id);
    request.caller = CallerId("driver");
    request.database = databaseId;
    request.rank = Rank::Normal;
    request.statements = { "INSERT INTO bookings VALUES ('" + id + "')" };
    request.deadline = std::chrono::milliseconds(2000);
    if (isKeyed) {
        std::int64_t issuedAt = toUnixMilliseconds(ManualClock().wallNow());
        request.key = IdempotencyKey { std::to_string(issuedAt) + ":" + id, issuedAt };
    }
    return request;
}

Request makeCountRequest(const std::string& id, const std::string& session)
{
    Failure failure;
    Request request = makeBookingRequest(id, false);
    request.id = RequestId("count-" + id);
    request.statements = { "SELECT '" + id + "', count(*) FROM bookings WHERE id = '" + id + "'" };
    request.session = *SessionToken::parse(session, failure);
    return request;
}

} // namespace lentiljunction::tests
