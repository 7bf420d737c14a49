#pragma once

#include "lentiljunction/admission/MemoryAccount.h"
#include "lentiljunction/core/Scheduler.h"

#include <cstddef>
#include <map>
#include <memory>

namespace lentiljunction {

/// Accounts for the replies that are being received, or wait for their delivery, from upstreams, and for those that sessions which
/// have ended still send.
///
/// A statement may be answered by many rows, and its reply cannot be refused once the upstream has run it. So when all
/// holders together exceed the budget, the longest reply that is being received is given up.
///
/// Not thread-safe; the traffic thread owns it.
///
/// @see MemoryAccount
class ReplyMemory {
public:
    /// Receives a reply.
    class Receiver {
    public:
        virtual ~Receiver() = default;

        /// Gives up the reply that is being received. Called by a task of the scheduler.
        virtual void giveUpReply() = 0;
    };

    /// The bytes of one reply. They leave the account with it, or with the ReplyMemory if that ends first.
    class Receipt {
    public:
        /// @param receiver null when the reply is complete
        Receipt(ReplyMemory& owner, Receiver* receiver);
        ~Receipt();
        Receipt(const Receipt&) = delete;
        Receipt& operator=(const Receipt&) = delete;

        /// Sets the memory that the reply takes.
        void set(std::size_t numBytes);

        /// The reply is complete, so it is given up no more.
        void onComplete();

    private:
        ReplyMemory& owner;
        std::weak_ptr<bool> isOwnerAlive;
    };

    /// @param scheduler must outlive this object, as must `account`
    ReplyMemory(Scheduler& scheduler, MemoryAccount& account);

    /// @returns a receipt for a reply of which nothing is accounted yet; the receiver must outlive it or complete it
    std::shared_ptr<Receipt> open(Receiver& receiver) { return std::make_shared<Receipt>(*this, &receiver); }

    /// @returns a receipt for bytes that are not given up
    std::shared_ptr<Receipt> hold(std::size_t numBytes);

private:
    struct Holder {
        Holder(MemoryAccount& account, Receiver* receiver)
            : share(account)
            , receiver(receiver)
        {
        }

        MemoryAccount::Share share;
        /// Null once the reply is complete.
        Receiver* receiver;
    };

    void set(const Receipt& receipt, std::size_t numBytes);
    void giveUpLongest();

    Scheduler& scheduler;
    MemoryAccount& account;
    std::map<const Receipt*, Holder> holders;
    bool isScheduled = false;
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace lentiljunction
