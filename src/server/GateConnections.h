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

/// Opens connections to one upstream. Tests put a fake in its place.
class SqlConnector {
public:
    virtual ~SqlConnector() = default;

    /// @returns a connection that is not open yet
    virtual std::unique_ptr<SqlConnection> create(const UpstreamConfig& upstream) = 0;
};

/// The open connections of one gate, kept as its ConnectionPool says.
///
/// Belongs to the traffic thread.
class GateConnections {
public:
    using Handle = ConnectionPool::Handle;

    /// What it works with; all must outlive it.
    struct Dependencies {
        Scheduler& loop;
        const Clock& clock;
        Metrics& metrics;
        SqlConnector& connector;
    };

    /// @param environment what it works with
    /// @param upstream the upstream
    /// @param profile the upstream's limits
    /// @param onFree called when a connection may have become free
    GateConnections(const Dependencies& dependencies, const UpstreamConfig& upstream, const ProfileConfig& profile, std::function<void()> onFree);

    /// @returns an idle connection, owned by the caller until it is released, or nothing
    std::optional<Handle> acquire();

    /// Gives a connection back.
    ///
    /// @param isClean whether its last transaction has a proven end
    /// @param wasSilent whether its last batch had no answer in time
    void release(Handle handle, bool isClean, bool wasSilent);

    /// Sends a batch on an owned connection. A connection that is gone answers Lost.
    void execute(Handle handle, const std::string& sql, Duration timeout, const SqlConnection::ReplyHandler& handler);

    /// Sets how many idle connections are kept.
    void setRetention(int numWarm, Duration spareLifetime) { this->pool.setRetention(numWarm, spareLifetime); }

    /// Opens and closes connections as needed.
    ///
    /// @param numWaiting requests that could run at once if there were connections
    void maintain(int numWaiting);

    /// Probes one idle connection that was not used for a while.
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
