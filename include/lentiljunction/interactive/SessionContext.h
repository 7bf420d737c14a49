#pragma once

#include "lentiljunction/interactive/SessionStatement.h"
#include "lentiljunction/interactive/UpstreamCommand.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentiljunction {

/// What a caller's session set up: its values and its prepared statements.
///
/// Sessions share connections to upstreams, so a connection is brought to the session's context
/// before each use. Prepared statements are named by their shape on connections, so sessions that
/// prepare the same shape share it there.
///
/// @code
/// std::vector<UpstreamCommand> commands = context.planPreparation(link.context, &shape);
/// @endcode
///
/// Not thread-safe.
class SessionContext {
public:
    /// What one connection to an upstream holds.
    struct ConnectionContext {
        std::map<std::string, std::string> values;
        std::set<std::string> preparedNames;
    };

    /// Sets a session value.
    void setValue(const std::string& name, const std::string& value) { this->values[name] = value; }

    /// Names a prepared statement; the name replaces an older one.
    void prepare(const std::string& name, const PreparedShape& shape) { this->prepared[name] = shape; }

    /// @returns whether the name was known
    bool deallocate(const std::string& name) { return this->prepared.erase(name) > 0; }

    /// @returns the shape behind a name, or nullptr
    const PreparedShape* findPrepared(const std::string& name) const;

    /// Brings a connection to this context and records what it then holds.
    ///
    /// @param link what the connection holds; changed to what it holds after the commands
    /// @param needed the prepared statement that is about to run, or nullptr
    /// @param mayTidy whether prepared statements of others may be dropped; not within a transaction
    /// @returns the commands to send, in order
    std::vector<UpstreamCommand> planPreparation(ConnectionContext& connection, const PreparedShape* needed, bool mayReset = true) const;

    /// @returns the name of a shape on every connection
    static std::string getSharedName(const PreparedShape& shape);

private:
    bool hasForeignValues(const ConnectionContext& connection) const;

    std::map<std::string, std::string> values;
    std::map<std::string, PreparedShape> prepared;
};

} // namespace lentiljunction
