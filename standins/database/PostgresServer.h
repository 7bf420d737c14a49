#pragma once

#include "FaultInjector.h"
#include "SqlEngine.h"

#include <atomic>
#include <functional>
#include <string>

namespace lentiljunction::standins {

class MessageStream;

/// Serves the simple query part of the PostgreSQL protocol, with one thread per connection.
class PostgresServer {
public:
    /// Address and limits.
    struct Settings {
        std::string address;
        int port = 0;
        int maximumConnections = 16;
        std::chrono::milliseconds connectDelay { 0 };
    };

    /// @param settings address and limits
    /// @param engine executes statements; must outlive the server
    /// @param faults the injected faults; must outlive the server
    PostgresServer(Settings settings, SqlEngine& engine, FaultInjector& faults);

    /// Serves connections until the process ends.
    ///
    /// @returns false when the port cannot be opened
    bool run();

    /// @returns the number of open connections
    int getNumConnections() const { return this->numConnections; }

private:
    void serve(int descriptor);
    void serveSession(MessageStream& stream, SessionState& session, const std::string& zone, std::uint64_t generation);

    Settings settings;
    SqlEngine& engine;
    FaultInjector& faults;
    std::atomic<int> numConnections { 0 };
};

} // namespace lentiljunction::standins
