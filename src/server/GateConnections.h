#pragma once

#include "lentiljunction/bundle/Bundle.h"
#include "lentiljunction/core/Scheduler.h"
#include "lentiljunction/execution/SqlConnection.h"
#include "lentiljunction/metrics/Metrics.h"
#include "lentiljunction/pool/ConnectionPool.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace lentiljunction {

/// Creates connections to upstreams. Tests use a fake implementation.
class SqlConnector {
public:
    virtual ~SqlConnector() = default;

    /// @returns a connection that is not open yet
    virtual std::unique_ptr<SqlConnection> create(const UpstreamConfig& upstream) = 0;
};

/// The open connections of one gate. ConnectionPool decides when they open and close.
///
/// Belongs to the traffic thread.
class GateConnections {
public:
    using Handle = ConnectionPool::Handle;

    /// The objects that it uses. All must outlive it.
    struct Dependencies {
        Scheduler& loop;
        const Clock& clock;
        Metrics& metrics;
        SqlConnector& connector;
    };

    /// @param dependencies the objects that it uses
    /// @param upstream the upstream to connect to
    /// @param profile the upstream's limits
    /// @param onFree called when a connection may have become free
    GateConnections(const Dependencies& dependencies, const UpstreamConfig& upstream, const ProfileConfig& profile, std::function<void()> onFree);

    /// @returns an idle connection, owned by the caller until it is released, or nothing
    std::optional<Handle> acquire();

    /// Returns a connection to the pool.
    ///
    /// @param isClean whether its last transaction certainly ended; otherwise the connection is closed
    /// @param wasSilent whether its last batch timed out without a response
    void release(Handle handle, bool isClean, bool wasSilent);

    /// Sends a batch on an acquired connection. If the connection was closed, the reply is Lost.
    void execute(Handle handle, const std::string& sql, Duration timeout, const SqlConnection::ReplyHandler& handler);

    /// Sets the number of idle connections to keep, and how long further idle ones stay open.
    void setRetention(int numWarm, Duration spareLifetime) { this->pool.setRetention(numWarm, spareLifetime); }

    /// Opens and closes connections as needed.
    ///
    /// @param numWaiting the number of requests that could start at once if connections were free
    void maintain(int numWaiting);

    /// Sends the status statement on one connection that has been idle for a while, to detect that it broke.
    void probeIdle();

private:
    void open(Handle handle);
    void discard(Handle handle);

    Dependencies dependencies;
    UpstreamConfig upstream;
    std::string statusSql;
    std::function<void()> onFree;
    ConnectionPool pool;
    std::map<Handle, std::unique_ptr<SqlConnection>> connections;
};

} // namespace lentiljunction
