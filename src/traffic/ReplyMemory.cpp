#include "ReplyMemory.h"

#include "lentiljunction/core/LogEvents.h"

#include <string>
#include <utility>

namespace lentiljunction {

ReplyMemory::Receipt::Receipt(ReplyMemory& owner, Receiver* receiver)
    : owner(owner)
    , isOwnerAlive(owner.isAlive)
{
    owner.holders.try_emplace(this, owner.account, receiver);
}

ReplyMemory::Receipt::~Receipt()
{
    if (!this->isOwnerAlive.expired())
        this->owner.holders.erase(this);
}

void ReplyMemory::Receipt::set(std::size_t numBytes)
{
    if (!this->isOwnerAlive.expired())
        this->owner.set(*this, numBytes);
}

void ReplyMemory::Receipt::onComplete()
{
    if (!this->isOwnerAlive.expired())
        this->owner.holders.at(this).receiver = nullptr;
}

ReplyMemory::ReplyMemory(Scheduler& scheduler, MemoryAccount& account)
    : scheduler(scheduler)
    , account(account)
{
}

std::shared_ptr<ReplyMemory::Receipt> ReplyMemory::hold(std::size_t numBytes)
{
    std::shared_ptr<Receipt> receipt = std::make_shared<Receipt>(*this, nullptr);
    receipt->set(numBytes);
    return receipt;
}

void ReplyMemory::set(const Receipt& receipt, std::size_t numBytes)
{
    this->holders.at(&receipt).share.set(numBytes);
    if (this->account.mayStart(0) || std::exchange(this->isScheduled, true))
        return;
    // Giving up a reply runs the handlers of its statement, which must not happen while another reply is being decoded.
    this->scheduler.schedule(Duration(0), [this, alive = std::weak_ptr<bool>(this->isAlive)] {
        if (!alive.expired())
            this->giveUpLongest();
    });
}

void ReplyMemory::giveUpLongest()
{
    this->isScheduled = false;
    while (!this->account.mayStart(0)) {
        Holder* longest = nullptr;
        for (std::pair<const Receipt* const, Holder>& holder : this->holders) {
            bool isLonger = longest == nullptr || longest->share.get() < holder.second.share.get();
            if (holder.second.receiver != nullptr && isLonger)
                longest = &holder.second;
        }
        if (longest == nullptr)
            return;
        logEvent(events::replyGivenUp, "bytes=" + std::to_string(longest->share.get()) + " held=" + std::to_string(this->account.getTotal()) + " limit=" + std::to_string(this->account.getBudget().getMaximum()) + " replies=" + std::to_string(this->holders.size()));
        std::exchange(longest->receiver, nullptr)->giveUpReply();
    }
}

} // namespace lentiljunction
