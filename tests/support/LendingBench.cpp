#include "LendingBench.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace lentiljunction::tests {

namespace {

    constexpr Duration commandTime = std::chrono::milliseconds(4);
    constexpr Duration linkDelay = std::chrono::microseconds(300);
    constexpr Duration checkInterval = std::chrono::milliseconds(25);

    std::size_t toIndex(const InstanceId& id)
    {
        return static_cast<std::size_t>(std::stoul(id.toString().substr(1)));
    }

    UpstreamEntry makeUpstream()
    {
        UpstreamEntry upstream;
        upstream.id = UpstreamId("u1");
        upstream.group = GroupId("g1");
        upstream.slots = 4;
        return upstream;
    }

} // namespace

/// A connection that runs its commands in order, one at a time.
class FakeSource::Connection : public StatementConnection, public std::enable_shared_from_this<Connection> {
public:
    Connection(FakeSource& source, UpstreamId upstream, WorkspaceId workspace)
        : workspace(std::move(workspace))
        , source(source)
        , upstream(std::move(upstream))
    {
    }

    const WorkspaceId workspace;

    void send(const UpstreamCommand& command, ReplyCallback callback) override
    {
        this->sendEncoded(LineProtocol().encodeCommand(command), std::move(callback));
    }

    void sendEncoded(const std::string& encoded, ReplyCallback callback) override
    {
        if (this->isClosed)
            return callback(std::nullopt);
        this->pending.push_back(std::move(callback));
        this->source.scheduler.schedule(commandTime, [self = this->shared_from_this(), encoded] { self->run(encoded); });
    }

    const UpstreamId& getUpstream() const override { return this->upstream; }

    void close()
    {
        this->isClosed = true;
        this->pending.clear();
    }

    void fail()
    {
        this->isClosed = true;
        for (const ReplyCallback& callback : std::exchange(this->pending, {}))
            callback(std::nullopt);
    }

private:
    void run(const std::string& encoded)
    {
        if (this->isClosed)
            return;
        if (this->source.used.count(this) == 0 && this->source.misuse.empty())
            this->source.misuse = encoded;
        this->source.executed.push_back(encoded);
        std::size_t name = encoded.find("ws-");
        if (name != std::string::npos)
            this->source.workspacesRun[this->workspace.toString()].insert(encoded.substr(name, encoded.find('-', name + 3) - name));
        SessionReply reply;
        reply.signature = "s";
        reply.rows = { encoded };
        if (encoded.find("BEGIN") != std::string::npos)
            this->isInTransaction = true;
        if (encoded.find("COMMIT") != std::string::npos || encoded.find("ROLLBACK") != std::string::npos)
            this->isInTransaction = false;
        reply.state = this->isInTransaction ? TransactionState::Open : TransactionState::Idle;
        ReplyCallback callback = std::move(this->pending.front());
        this->pending.pop_front();
        callback(std::move(reply));
    }

    FakeSource& source;
    UpstreamId upstream;
    std::deque<ReplyCallback> pending;
    bool isClosed = false;
    bool isInTransaction = false;
};

FakeSource::FakeSource(const Clock& clock, ManualScheduler& scheduler, UpstreamEntry upstream)
    : clock(clock)
    , scheduler(scheduler)
    , upstream(std::move(upstream))
{
}

FakeSource::~FakeSource()
{
    *this->isAlive = false;
    for (const std::pair<const StatementConnection* const, std::shared_ptr<Connection>>& entry : this->used)
        entry.second->close();
}

ConnectionSource::Ticket FakeSource::acquire(const Request& request, Grant grant)
{
    if (this->isCut) {
        grant(nullptr, Denial::Unreachable);
        return 0;
    }
    Ticket ticket = this->nextTicket++;
    this->waiting.emplace(ticket, Waiting { std::move(grant), request.workspace });
    this->grantWaiting();
    if (this->waiting.count(ticket) == 0)
        return 0;
    this->scheduler.schedule(std::chrono::duration_cast<Duration>(request.deadline - this->clock.now()), [this, ticket, alive = this->isAlive] {
        if (*alive)
            this->expire(ticket);
    });
    return ticket;
}

void FakeSource::grantWaiting()
{
    while (!this->waiting.empty()) {
        std::shared_ptr<Connection> connection = this->takeIdle(this->waiting.begin()->second.workspace);
        if (connection == nullptr)
            return;
        Waiting first = std::move(this->waiting.begin()->second);
        this->waiting.erase(this->waiting.begin());
        this->used.emplace(connection.get(), connection);
        this->activate(connection.get());
        first.grant(connection.get(), Denial::TooLong);
    }
}

std::shared_ptr<FakeSource::Connection> FakeSource::takeIdle(const WorkspaceId& workspace)
{
    std::vector<std::shared_ptr<Connection>>::reverse_iterator found = std::find_if(this->idle.rbegin(), this->idle.rend(), [&workspace](const std::shared_ptr<Connection>& candidate) { return candidate->workspace == workspace; });
    if (found != this->idle.rend()) {
        std::shared_ptr<Connection> connection = *found;
        this->idle.erase(std::next(found).base());
        return connection;
    }
    if (this->idle.size() + this->used.size() >= this->limit && this->idle.empty())
        return nullptr;
    if (this->idle.size() + this->used.size() >= this->limit)
        this->idle.erase(this->idle.begin());
    this->numOpened++;
    return std::make_shared<Connection>(*this, this->upstream.id, workspace);
}

void FakeSource::expire(Ticket ticket)
{
    std::map<Ticket, Waiting>::iterator found = this->waiting.find(ticket);
    if (found == this->waiting.end())
        return;
    Grant grant = std::move(found->second.grant);
    this->waiting.erase(found);
    grant(nullptr, Denial::TooLong);
}

void FakeSource::cancelAcquire(Ticket ticket)
{
    this->waiting.erase(ticket);
}

void FakeSource::release(StatementConnection* connection)
{
    std::map<const StatementConnection*, std::shared_ptr<Connection>>::iterator found = this->used.find(connection);
    if (found == this->used.end())
        return;
    this->deactivate(connection);
    this->idle.push_back(found->second);
    this->used.erase(found);
    this->grantWaiting();
}

void FakeSource::discard(StatementConnection* connection)
{
    std::map<const StatementConnection*, std::shared_ptr<Connection>>::iterator found = this->used.find(connection);
    if (found == this->used.end())
        return;
    this->deactivate(connection);
    found->second->close();
    // The connection may be on the call stack.
    this->scheduler.post([retired = found->second] {});
    this->used.erase(found);
    this->numClosed++;
    this->grantWaiting();
}

void FakeSource::activate(StatementConnection* connection)
{
    this->active.insert(connection);
    this->numActive = this->active.size();
}

void FakeSource::deactivate(StatementConnection* connection)
{
    this->active.erase(connection);
    this->numActive = this->active.size();
}

void FakeSource::breakUsed()
{
    std::map<const StatementConnection*, std::shared_ptr<Connection>> broken = this->used;
    for (const std::pair<const StatementConnection* const, std::shared_ptr<Connection>>& entry : broken)
        entry.second->fail();
}

struct LendingBench::Instance : public Lender::Transport, public Borrower::Transport, public Lender::SourceFinder {
    Instance(LendingBench& newBench, std::size_t newIndex)
        : bench(newBench)
        , index(newIndex)
        , own(std::make_shared<FakeSource>(newBench.clock, newBench.scheduler, makeUpstream()))
        , lender(newBench.clock, *this, *this)
        , borrower(newBench.clock, newBench.protocol, InstanceId("i" + std::to_string(newIndex)), *this)
        , source(std::make_shared<BorrowingSource>(borrower, own))
    {
    }

    void sendToBorrower(Lender::LinkId link, const LendingMessage& message) override
    {
        std::optional<LendingMessage> decoded = decodeLendingMessage(encodeLendingMessage(message));
        std::size_t to = static_cast<std::size_t>(link);
        this->bench.deliver(this->index, to, [this, to, message = *decoded] { this->bench.instances[to]->borrower.onMessage(InstanceId("i" + std::to_string(this->index)), message); });
    }

    void sendToLender(const FleetMember& member, const LendingMessage& message) override
    {
        std::optional<LendingMessage> decoded = decodeLendingMessage(encodeLendingMessage(message));
        std::size_t to = toIndex(member.id);
        if (this->bench.instances[to]->isEarlierVersion)
            decoded->workspace = WorkspaceId();
        if (this->bench.instances[to]->isKilled) {
            this->bench.scheduler.schedule(linkDelay, [this, id = member.id] { this->borrower.onLinkLost(id); });
            return;
        }
        this->bench.deliver(this->index, to, [this, to, message = *decoded] { this->bench.instances[to]->lender.onMessage(this->index, message); });
    }

    bool isLinkOpen(const InstanceId&) const override { return true; }

    std::shared_ptr<ConnectionSource> findOwnSource(const UpstreamId&) override { return this->own; }

    LendingBench& bench;
    std::size_t index;
    std::shared_ptr<FakeSource> own;
    Lender lender;
    Borrower borrower;
    std::shared_ptr<BorrowingSource> source;
    bool isKilled = false;
    bool isFrozen = false;
    bool isEarlierVersion = false;
};

LendingBench::LendingBench(std::size_t numInstances, std::size_t numLenders)
{
    std::vector<FleetMember> lenders;
    for (std::size_t index = 0; index < numLenders; index++)
        lenders.push_back({ InstanceId("i" + std::to_string(index)), ZoneId("z"), { "127.0.0.1", 1 }, Endpoint { "127.0.0.1", 2 } });
    for (std::size_t index = 0; index < numInstances; index++) {
        this->instances.push_back(std::make_unique<Instance>(*this, index));
        this->instances.back()->source->setLenders(lenders);
    }
    this->runPeriodically();
}

LendingBench::~LendingBench() = default;

void LendingBench::runPeriodically()
{
    for (const std::unique_ptr<Instance>& instance : this->instances) {
        if (instance->isFrozen || instance->isKilled)
            continue;
        instance->borrower.expire();
        instance->lender.checkIdle();
    }
    this->scheduler.schedule(checkInterval, [this] { this->runPeriodically(); });
}

void LendingBench::deliver(std::size_t from, std::size_t to, std::function<void()> message)
{
    if (this->instances[from]->isFrozen) {
        this->heldBack[from].push_back([this, from, to, message = std::move(message)] { this->deliver(from, to, message); });
        return;
    }
    this->scheduler.schedule(linkDelay, [this, from, to, message = std::move(message)] {
        if (this->instances[from]->isKilled || this->instances[to]->isKilled)
            return;
        if (this->instances[to]->isFrozen)
            this->heldBack[to].push_back(message);
        else
            message();
    });
}

BorrowingSource& LendingBench::getSource(std::size_t instance)
{
    return *this->instances[instance]->source;
}

FakeSource& LendingBench::getOwn(std::size_t instance)
{
    return *this->instances[instance]->own;
}

Lender& LendingBench::getLender(std::size_t instance)
{
    return this->instances[instance]->lender;
}

Borrower& LendingBench::getBorrower(std::size_t instance)
{
    return this->instances[instance]->borrower;
}

void LendingBench::setEarlierVersion(std::size_t instance)
{
    this->instances[instance]->isEarlierVersion = true;
}

void LendingBench::freeze(std::size_t instance)
{
    this->instances[instance]->isFrozen = true;
}

void LendingBench::thaw(std::size_t instance)
{
    this->instances[instance]->isFrozen = false;
    for (const std::function<void()>& message : std::exchange(this->heldBack[instance], {}))
        message();
}

void LendingBench::kill(std::size_t instance)
{
    this->instances[instance]->isKilled = true;
    this->instances[instance]->own->breakUsed();
    InstanceId id("i" + std::to_string(instance));
    for (const std::unique_ptr<Instance>& other : this->instances) {
        if (other->index == instance || other->isKilled)
            continue;
        std::function<void()> closeLinks = [raw = other.get(), id, instance] {
            raw->borrower.onLinkLost(id);
            raw->lender.onLinkLost(instance);
        };
        // A frozen instance reads what arrived before the end of the link first.
        if (other->isFrozen)
            this->heldBack[other->index].push_back(closeLinks);
        else
            closeLinks();
    }
}

ConnectionSource::Request makeConnectionRequest(TimePoint deadline)
{
    return { Rank::Normal, CallerId("driver"), deadline, nullptr };
}

} // namespace lentiljunction::tests
