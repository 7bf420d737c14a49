#pragma once

#include "lentiljunction/core/EventLoop.h"
#include "lentiljunction/execution/SqlConnection.h"
#include "lentiljunction/settings/Settings.h"

#include <memory>
#include <string>

namespace lentiljunction {

/// The identity under which the instance connects to an upstream.
struct PostgresIdentity {
    std::string user;
    std::string database;
    /// Names the instance and its availability zone.
    std::string applicationName;
};

/// An asynchronous connection to an upstream over the PostgreSQL protocol, by libpq.
///
/// Not thread-safe; used and run on the thread of the event loop.
class PostgresConnection : public SqlConnection {
public:
    /// @param loop runs the connection; must outlive it
    /// @param endpoint the upstream's address
    /// @param identity the user, database and application name to connect with
    PostgresConnection(EventLoop& loop, Endpoint endpoint, PostgresIdentity identity);
    ~PostgresConnection() override;
    PostgresConnection(const PostgresConnection&) = delete;
    PostgresConnection& operator=(const PostgresConnection&) = delete;

    void open(Duration timeout, OpenHandler handler) override;
    void execute(const std::string& sql, Duration timeout, ReplyHandler handler) override;
    void close() override;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace lentiljunction
