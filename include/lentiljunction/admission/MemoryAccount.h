#pragma once

#include "lentiljunction/admission/MemoryBudget.h"

#include <limits>

namespace lentiljunction {

/// Sums up the bytes that the sessions of an event loop hold, and compares them with a budget.
///
/// @code
/// MemoryAccount::Share share(account);
/// share.set(buffer.capacity());
/// @endcode
///
/// Not thread-safe.
class MemoryAccount {
public:
    /// The bytes of one holder. They leave the account with it. The account must outlive its shares.
    class Share {
    public:
        explicit Share(MemoryAccount& account)
            : account(account)
        {
        }

        ~Share() { this->set(0); }
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

        void set(std::size_t newBytes)
        {
            this->account.numBytes = this->account.numBytes - this->numBytes + newBytes;
            this->numBytes = newBytes;
        }

        std::size_t get() const { return this->numBytes; }

    private:
        MemoryAccount& account;
        std::size_t numBytes = 0;
    };

    void setBudget(const MemoryBudget& newBudget) { this->budget = newBudget; }
    const MemoryBudget& getBudget() const { return this->budget; }

    /// @returns the sum of all shares, in bytes
    std::size_t getTotal() const { return this->numBytes; }

    /// @see MemoryBudget::mayStart
    bool mayStart(std::size_t numMore) const { return this->budget.mayStart(this->numBytes, numMore); }

    /// @see MemoryBudget::mustCloseSessions
    bool mustCloseSessions() const { return this->budget.mustCloseSessions(this->numBytes); }

private:
    MemoryBudget budget { std::numeric_limits<std::size_t>::max() };
    std::size_t numBytes = 0;
};

} // namespace lentiljunction
