#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"
#include "lentiljunction/core/Outcome.h"
#include "lentiljunction/pool/ConnectionPool.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// The open interactive transactions of one gate, each with the connection that it owns.
///
/// Belongs to the traffic thread.
class TransactionTable {
public:
    using Handle = ConnectionPool::Handle;

    /// @param prefix the start of each transaction's id: the instance and the upstream
    explicit TransactionTable(std::string prefix);

    /// Claims a transaction for one request, so that no other request runs in it.
    ///
    /// @returns the reason for the refusal, or nothing when the claim succeeded
    std::optional<Outcome> claim(const TransactionId& id);

    /// Releases a claim without ending the transaction.
    void releaseClaim(const TransactionId& id);

    /// Stores a transaction that stays open after a request, and releases its claim.
    ///
    /// @param id empty for a new transaction
    /// @param connection the connection that the transaction owns
    /// @param now the time from which it counts as idle
    /// @returns the transaction's id
    TransactionId keepOpen(const TransactionId& id, Handle connection, TimePoint now);

    /// @returns the connection of an open transaction, or nothing
    std::optional<Handle> find(const TransactionId& id) const;

    /// Removes a transaction that ended.
    void end(const TransactionId& id) { this->transactions.erase(id); }

    /// Removes the transactions that were idle for at least `limit`.
    ///
    /// @returns their connections
    std::vector<Handle> takeIdle(TimePoint now, Duration limit);

    /// @returns whether no transaction is open
    bool isEmpty() const { return this->transactions.empty(); }

private:
    struct OpenTransaction {
        Handle connection = 0;
        TimePoint lastUsed;
        bool isClaimed = false;
    };

    std::string prefix;
    std::map<TransactionId, OpenTransaction> transactions;
    std::uint64_t nextNumber = 1;
};

} // namespace lentiljunction
