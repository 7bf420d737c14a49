#include "LendingService.h"

namespace lentiljunction {

namespace {

    /// How often requests are checked for lenders that do not respond.
    constexpr std::chrono::milliseconds expiryInterval { 25 };

} // namespace

LendingService::LendingService(EventLoop& loop, const Clock& clock, const SessionProtocol& protocol, const InstanceId& self, Lender::SourceFinder& sources, MemoryAccount& memory)
    : clock(clock)
    , links(loop, *this)
    , unsent(memory)
    , lender(clock, *this, sources)
    , borrower(clock, protocol, self, *this)
    , timer(loop, clock, [this] {
        this->borrower.expire();
        this->setTimer();
    })
{
}

void LendingService::sendToBorrower(std::uint64_t link, const LendingMessage& message)
{
    this->links.sendToBorrower(link, message);
    if (message.reply.receipt != nullptr)
        this->unsent.set(this->links.countUnsentBytes());
}

void LendingService::sendToLender(const FleetMember& member, const LendingMessage& message)
{
    this->links.sendToLender(member, message);
    if (message.kind == LendingMessage::Kind::Borrow)
        this->setTimer();
}

void LendingService::setTimer()
{
    std::optional<TimePoint> next = this->borrower.getNextDeadline();
    if (next)
        this->timer.setTimeIfEarlier(std::max<TimePoint>(*next, this->clock.now() + expiryInterval));
}

} // namespace lentiljunction
