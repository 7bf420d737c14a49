#pragma once

#include "lentiljunction/interactive/SessionStatement.h"
#include "lentiljunction/interactive/UpstreamCommand.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentiljunction {

/// The session values and prepared statements of a caller's session.
///
/// Sessions share connections to upstreams, so the session's context is applied to a connection before each
/// use. On connections prepared statements are named by their shape, so sessions that prepare the same
/// shape share one prepared statement.
///
/// @code
/// std::vector<UpstreamCommand> commands = context.planPreparation(connection.context, &shape);
/// @endcode
///
/// Not thread-safe.
class SessionContext {
public:
    /// A connection with more prepared statements is reset, to limit its memory on the upstream.
    static constexpr std::size_t maximumPreparedNames = 256;

    /// The session values and prepared statements that exist on one connection to an upstream.
    struct ConnectionContext {
        std::map<std::string, std::string> values;
        std::set<std::string> preparedNames;
    };

    /// Sets a session value.
    void setValue(const std::string& name, const std::string& value);

    /// Adds a prepared statement, or replaces the one of the same name.
    void prepare(const std::string& name, const PreparedShape& shape);

    /// @returns whether the name was known
    bool deallocate(const std::string& name);

    /// @returns the bytes of the values, the prepared statements and their names
    std::size_t getSize() const { return this->size; }

    /// @returns the shape of a prepared statement, or nullptr
    const PreparedShape* findPrepared(const std::string& name) const;

    /// Plans the commands that apply this context to a connection.
    ///
    /// @param connection the context on the connection; updated to the context after the commands
    /// @param needed the prepared statement that is about to run, or nullptr
    /// @param mayReset whether the connection may be reset to drop prepared statements; false within a transaction
    /// @returns the commands to send, in order
    std::vector<UpstreamCommand> planPreparation(ConnectionContext& connection, const PreparedShape* needed, bool mayReset = true) const;

    /// @returns the names under which the session's statements are prepared on connections
    std::set<std::string> listSharedNames() const;

    /// @returns the name under which a shape is prepared on connections
    static std::string getSharedName(const PreparedShape& shape);

private:
    bool hasForeignValues(const ConnectionContext& connection) const;

    std::map<std::string, std::string> values;
    std::map<std::string, PreparedShape> prepared;
    std::size_t size = 0;
};

} // namespace lentiljunction
