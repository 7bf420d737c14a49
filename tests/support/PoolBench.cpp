#include "PoolBench.h"

#include <utility>

namespace lentiljunction::tests {

namespace {

    constexpr Duration openingTime = std::chrono::milliseconds(12);
    constexpr Duration networkDelay = std::chrono::microseconds(300);
    constexpr Duration checkInterval = std::chrono::milliseconds(25);

    UpstreamEntry makeUpstream(int slots)
    {
        UpstreamEntry upstream;
        upstream.id = UpstreamId("u1");
        upstream.group = GroupId("g1");
        upstream.slots = slots;
        return upstream;
    }

} // namespace

/// A connection that lives in the fake upstream until the pool destroys it.
class PoolBench::Connection : public UpstreamConnection {
public:
    Connection(PoolBench& bench, std::string user, Listener& listener)
        : bench(bench)
        , user(std::move(user))
        , listener(listener)
    {
    }

    ~Connection() override { this->close(); }

    void start()
    {
        std::shared_ptr<bool> alive = this->isAlive;
        this->bench.scheduler.schedule(networkDelay, [this, alive] {
            if (!*alive)
                return;
            if (this->bench.connections.size() >= this->bench.connectionLimit)
                return this->fail(LossCause::Full);
            this->bench.connections.insert(this);
            this->bench.numOpenAtMost = std::max(this->bench.numOpenAtMost, this->bench.connections.size());
            this->bench.runInSlot(openingTime, [this, alive] {
                if (*alive)
                    this->listener.onConnectionReady(*this);
            });
        });
    }

    void send(const UpstreamCommand& command, ReplyCallback callback) override { this->sendEncoded(command.argument, std::move(callback)); }

    void sendEncoded(const std::string& workspace, ReplyCallback callback) override
    {
        if (!*this->isAlive)
            return callback(std::nullopt);
        this->bench.numMisused += workspace == this->user && this->bench.granted.count(this) > 0 ? 0 : 1;
        this->pending.push_back(std::move(callback));
        std::shared_ptr<bool> alive = this->isAlive;
        this->bench.scheduler.schedule(networkDelay, [this, alive] {
            this->bench.runInSlot(this->bench.serviceTime, [this, alive] {
                if (*alive)
                    this->answer();
            });
        });
    }

    void failAsSilent() override { this->fail(LossCause::Silent); }

    void close() override
    {
        *this->isAlive = false;
        this->pending.clear();
        this->bench.connections.erase(this);
    }

    void fail(LossCause cause)
    {
        *this->isAlive = false;
        this->bench.connections.erase(this);
        for (const ReplyCallback& callback : std::exchange(this->pending, {}))
            callback(std::nullopt);
        this->listener.onConnectionLost(*this, cause, "test");
    }

    bool hasNoPendingReply() const override { return this->pending.empty(); }
    std::optional<TimePoint> getPendingSince() const override { return std::nullopt; }
    const UpstreamId& getUpstream() const override { return this->bench.pool->getUpstream().id; }

private:
    void answer()
    {
        ReplyCallback callback = std::move(this->pending.front());
        this->pending.pop_front();
        callback(SessionReply());
    }

    PoolBench& bench;
    std::string user;
    Listener& listener;
    std::deque<ReplyCallback> pending;
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

PoolBench::PoolBench(int slots)
    : numFreeSlots(slots)
{
    UpstreamPool::Listener& listener = *this;
    this->pool = std::make_unique<UpstreamPool>(UpstreamPool::Dependencies { this->loop, this->clock, this->protocol, InstanceId("self"), listener, this }, makeUpstream(slots));
    this->pool->setShare(static_cast<int>(this->connectionLimit), 1);
    this->runPeriodically();
}

PoolBench::~PoolBench() = default;

void PoolBench::setWorkspaces(const std::map<std::string, double>& weights, std::size_t share)
{
    WorkspaceWeights byId;
    for (const std::pair<const std::string, double>& entry : weights)
        byId[WorkspaceId(entry.first)] = entry.second;
    this->pool->setWorkspaces(std::make_shared<const WorkspaceWeights>(std::move(byId)));
    this->pool->setIdleShare(share);
}

ConnectionSource::Request PoolBench::makeRequest(const std::string& workspace, Duration wait) const
{
    return { Rank::Normal, CallerId(workspace), this->clock.now() + wait, nullptr, WorkspaceId(workspace) };
}

void PoolBench::run(const std::string& workspace, Duration wait, Duration held, std::function<void(std::optional<Duration>)> done)
{
    TimePoint started = this->clock.now();
    this->pool->acquire(this->makeRequest(workspace, wait), [this, workspace, held, started, done = std::move(done)](StatementConnection* connection, ConnectionSource::Denial) {
        if (connection == nullptr)
            return done(std::nullopt);
        this->granted.insert(connection);
        UpstreamCommand command;
        command.argument = workspace.empty() ? "self" : workspace;
        connection->send(command, [this, connection, held, started, done](const std::optional<SessionReply>& reply) {
            if (!reply || held == Duration(0))
                return this->finish(connection, !reply, started, done);
            this->pool->deactivate(connection);
            this->scheduler.schedule(held, [this, connection, started, done] { this->finish(connection, false, started, done); });
        });
    });
}

void PoolBench::finish(StatementConnection* connection, bool isBroken, TimePoint started, const std::function<void(std::optional<Duration>)>& done)
{
    this->granted.erase(connection);
    if (isBroken)
        this->pool->discard(connection);
    else
        this->pool->release(connection);
    done(isBroken ? std::nullopt : std::optional<Duration>(std::chrono::duration_cast<Duration>(this->clock.now() - started)));
}

std::unique_ptr<UpstreamConnection> PoolBench::open(const UpstreamEntry&, const std::string& user, Duration, UpstreamConnection::Listener& listener)
{
    std::unique_ptr<Connection> connection = std::make_unique<Connection>(*this, user, listener);
    connection->start();
    return connection;
}

void PoolBench::breakConnections()
{
    std::set<Connection*> broken = this->connections;
    for (Connection* connection : broken) {
        if (this->connections.count(connection) > 0)
            connection->failAsSilent();
    }
}

void PoolBench::runInSlot(Duration span, std::function<void()> done)
{
    this->slotQueue.push_back([this, span, done = std::move(done)] {
        this->scheduler.schedule(span, [this, done] {
            this->numFreeSlots++;
            done();
            this->startNext();
        });
    });
    this->startNext();
}

void PoolBench::startNext()
{
    while (this->numFreeSlots > 0 && !this->slotQueue.empty()) {
        this->numFreeSlots--;
        std::function<void()> next = std::move(this->slotQueue.front());
        this->slotQueue.pop_front();
        next();
    }
}

void PoolBench::runPeriodically()
{
    this->pool->denyExpired();
    this->pool->closeSurplus();
    this->scheduler.schedule(checkInterval, [this] { this->runPeriodically(); });
}

} // namespace lentiljunction::tests
