#include "TransactionTable.h"

#include <utility>

namespace lentiljunction {

TransactionTable::TransactionTable(std::string prefix)
    : prefix(std::move(prefix))
{
}

std::optional<Outcome> TransactionTable::claim(const TransactionId& id)
{
    std::map<TransactionId, OpenTransaction>::iterator found = this->transactions.find(id);
    if (found == this->transactions.end())
        return Outcome::notRun(NotRunReason::TransactionGone, "the transaction ended or was rolled back");
    if (found->second.isClaimed)
        return Outcome::notRun(NotRunReason::InvalidRequest, "the transaction is running another request");

    found->second.isClaimed = true;
    return std::nullopt;
}

void TransactionTable::releaseClaim(const TransactionId& id)
{
    std::map<TransactionId, OpenTransaction>::iterator found = this->transactions.find(id);
    if (found != this->transactions.end())
        found->second.isClaimed = false;
}

TransactionId TransactionTable::keepOpen(const TransactionId& id, Handle connection, TimePoint now)
{
    TransactionId openId = id;
    if (openId.isEmpty())
        openId = TransactionId(this->prefix + "~" + std::to_string(this->nextNumber++));
    this->transactions[openId] = { connection, now, false };
    return openId;
}

std::optional<TransactionTable::Handle> TransactionTable::find(const TransactionId& id) const
{
    std::map<TransactionId, OpenTransaction>::const_iterator found = this->transactions.find(id);
    if (found == this->transactions.end())
        return std::nullopt;
    return found->second.connection;
}

std::vector<TransactionTable::Handle> TransactionTable::takeIdle(TimePoint now, Duration limit)
{
    std::vector<Handle> idle;
    for (std::map<TransactionId, OpenTransaction>::iterator entry = this->transactions.begin(); entry != this->transactions.end();) {
        bool isExpired = !entry->second.isClaimed && now - entry->second.lastUsed >= limit;
        if (!isExpired) {
            ++entry;
            continue;
        }
        idle.push_back(entry->second.connection);
        entry = this->transactions.erase(entry);
    }
    return idle;
}

} // namespace lentiljunction
