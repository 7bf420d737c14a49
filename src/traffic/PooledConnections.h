#pragma once

#include "UpstreamConnection.h"
#include "lentiljunction/admission/ConcurrencyPolicy.h"
#include "lentiljunction/workspaces/WorkspaceId.h"

#include <functional>
#include <memory>
#include <vector>

namespace lentiljunction {

/// The connections of a pool with their workspaces and states.
///
/// Not thread-safe; the traffic thread owns it. A pointer to an entry is valid until an entry is added or removed.
class PooledConnections {
public:
    /// A connection. One that is neither opening nor idle belongs to a session.
    struct Entry {
        std::unique_ptr<UpstreamConnection> connection;
        /// Empty when it was opened under the name of this instance.
        WorkspaceId workspace;
        bool isOpening = true;
        bool isIdle = false;
        bool isActive = false;
        /// It was lost while a session held it without a pending reply.
        bool isLost = false;
        /// The kind of the statements for which it was granted; empty for a command of the proxy itself.
        std::optional<StatementClass> kind;
        /// When it started to open, became idle or became active.
        TimePoint since;

        /// @returns whether a session may get it now
        bool isAvailable() const { return this->isIdle && this->connection->hasNoPendingReply(); }
    };

    /// What a request needs.
    struct Need {
        WorkspaceId workspace;
        bool acceptsAnyWorkspace = false;
    };

    using iterator = std::vector<Entry>::iterator;
    using const_iterator = std::vector<Entry>::const_iterator;

    void add(Entry entry) { this->entries.push_back(std::move(entry)); }

    /// Removes a connection.
    ///
    /// @returns the connection, or nullptr when it is unknown
    std::unique_ptr<UpstreamConnection> take(const StatementConnection* connection);

    /// @returns the entry of a connection, or nullptr
    Entry* find(const StatementConnection* connection);

    /// @returns the most recently used idle connection that a request may use, or nullptr
    Entry* findIdle(const Need& need);

    /// @returns whether a request finds an idle connection
    bool hasIdle(const Need& need) const;

    /// @returns the first connection that is idle, whatever its workspace, or nullptr
    UpstreamConnection* findFirstIdle() const;

    /// @returns the connections with a command that was sent before a time and is unanswered
    std::vector<UpstreamConnection*> listUnanswered(TimePoint sentBefore) const;

    /// @param isKept the workspaces whose connections are left out
    /// @returns the connection that was idle for longest, or nullptr
    Entry* findLongestIdle(const std::function<bool(const WorkspaceId&)>& isKept);

    /// @returns the connections of a workspace for which a condition holds
    std::size_t count(const WorkspaceId& workspace, const std::function<bool(const Entry&)>& condition) const;

    /// Orders the connections by the time since which they are idle or in use.
    void sortByAge();

    std::size_t size() const { return this->entries.size(); }
    Entry& operator[](std::size_t index) { return this->entries[index]; }
    iterator begin() { return this->entries.begin(); }
    iterator end() { return this->entries.end(); }
    const_iterator begin() const { return this->entries.begin(); }
    const_iterator end() const { return this->entries.end(); }

private:
    std::vector<Entry> entries;
};

} // namespace lentiljunction
