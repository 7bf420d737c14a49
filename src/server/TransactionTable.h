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

    /// @param prefix begins the id of each transaction: the instance and the upstream
    explicit TransactionTable(std::string prefix);

    /// Claims a transaction for one request.
    ///
    /// @returns why it cannot be claimed, or nothing when it is
    std::optional<Outcome> claim(const TransactionId& id);

    /// Gives a claim back without ending the transaction.
    void releaseClaim(const TransactionId& id);

    /// Keeps a transaction open after a request.
    ///
    /// @param id empty for a new transaction
    /// @returns the transaction's id
    TransactionId keepOpen(const TransactionId& id, Handle connection, TimePoint now);

    /// @returns the connection of a transaction, or nothing when it ended
    std::optional<Handle> find(const TransactionId& id) const;

    /// Forgets a transaction that ended.
    void end(const TransactionId& id) { this->transactions.erase(id); }

    /// @returns the connections of transactions that idled too long, already forgotten here
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
