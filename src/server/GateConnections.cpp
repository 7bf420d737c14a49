#include "GateConnections.h"

#include "lentiljunction/core/LogEvents.h"

#include <utility>

namespace lentiljunction {

namespace {

    constexpr Duration openTimeout = std::chrono::milliseconds(500);
    constexpr Duration probeTimeout = std::chrono::milliseconds(250);

} // namespace

GateConnections::GateConnections(const Dependencies& dependencies, const UpstreamConfig& upstream, const ProfileConfig& profile, std::function<void()> onFree)
    : dependencies(dependencies)
    , upstream(upstream)
    , statusSql(profile.statusSql)
    , onFree(std::move(onFree))
    , pool(profile.getGateConnections(), profile.warmConnections)
{
}

std::optional<GateConnections::Handle> GateConnections::acquire()
{
    return this->pool.acquire(this->dependencies.clock.now());
}

void GateConnections::release(Handle handle, bool isClean, bool wasSilent)
{
    if (wasSilent)
        this->pool.onNoReply(handle);
    if (!isClean) {
        this->dependencies.metrics.onConnectionDiscarded();
        logEvent(events::connectionDiscarded, "upstream=" + this->upstream.id.toString() + " silent=" + (wasSilent ? "yes" : "no"));
    }
    this->pool.release(handle, isClean ? ConnectionPool::Condition::Clean : ConnectionPool::Condition::StateUnknown, this->dependencies.clock.now());
}

void GateConnections::execute(Handle handle, const std::string& sql, Duration timeout, const SqlConnection::ReplyHandler& handler)
{
    std::map<Handle, std::unique_ptr<SqlConnection>>::iterator found = this->connections.find(handle);
    if (found != this->connections.end())
        found->second->execute(sql, timeout, handler);
    else
        this->dependencies.loop.post([handler] { handler(SqlReply()); });
}

void GateConnections::maintain(int numWaiting)
{
    TimePoint now = this->dependencies.clock.now();
    this->pool.setDemand(numWaiting);
    for (Handle handle : this->pool.takeConnectionsToClose(now))
        this->discard(handle);
    for (Handle handle : this->pool.takeConnectionsToOpen(now))
        this->open(handle);
}

void GateConnections::probeIdle()
{
    std::optional<Handle> handle = this->pool.takeProbe(this->dependencies.clock.now());
    if (!handle)
        return;

    this->execute(*handle, this->statusSql, probeTimeout, [this, probed = *handle](const SqlReply& reply) {
        this->release(probed, reply.status == SqlReply::Status::Completed, reply.isSilent);
        this->onFree();
    });
}

void GateConnections::open(Handle handle)
{
    this->connections[handle] = this->dependencies.connector.create(this->upstream);
    this->connections[handle]->open(openTimeout, [this, handle](bool isOpen) {
        TimePoint now = this->dependencies.clock.now();
        if (isOpen) {
            this->pool.onOpened(handle, now);
        } else {
            this->pool.onLost(handle, now);
            this->discard(handle);
        }
        this->onFree();
    });
}

void GateConnections::discard(Handle handle)
{
    std::map<Handle, std::unique_ptr<SqlConnection>>::iterator found = this->connections.find(handle);
    if (found == this->connections.end())
        return;

    // The connection may be running its own handler, so it is destroyed after that returns.
    std::shared_ptr<SqlConnection> closing = std::move(found->second);
    this->connections.erase(found);
    this->dependencies.loop.post([closing] { closing->close(); });
}

} // namespace lentiljunction
