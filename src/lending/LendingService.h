#pragma once

#include "../net/OneShotTimer.h"
#include "Borrower.h"
#include "Lender.h"
#include "LendingLinks.h"
#include "lentiljunction/admission/MemoryAccount.h"

namespace lentiljunction {

/// Lends connections to other instances and borrows theirs: connects Lender and Borrower to links and timers.
///
/// Use only on the event loop's thread.
class LendingService : private LendingLinks::Listener, private Lender::Transport, private Borrower::Transport {
public:
    /// All must outlive this object.
    ///
    /// @param memory accounts for long replies that borrowers have not received yet
    LendingService(EventLoop& loop, const Clock& clock, const SessionProtocol& protocol, const InstanceId& self, Lender::SourceFinder& sources, MemoryAccount& memory);

    /// Opens the port for borrowers.
    ///
    /// @param failure set when the port cannot be opened
    bool listen(const Endpoint& endpoint, Failure& failure) { return this->links.listen(endpoint, failure); }

    Borrower& getBorrower() { return this->borrower; }

    /// Lends nothing more; connections that are lent stay until they are returned.
    void stopLending() { this->lender.stop(); }

    /// @returns the number of connections lent to other instances
    std::size_t countLent() const { return this->lender.countLent(); }

    /// @returns the number of connections borrowed from other instances
    std::size_t countBorrowed() const { return this->borrower.countConnections(); }

    /// Call this several times a second.
    void checkIdle()
    {
        this->lender.checkIdle();
        this->unsent.set(this->links.countUnsentBytes());
    }

private:
    void onBorrowerMessage(std::uint64_t link, const LendingMessage& message) override { this->lender.onMessage(link, message); }
    void onBorrowerLost(std::uint64_t link) override { this->lender.onLinkLost(link); }
    void onLenderMessage(const InstanceId& lender, const LendingMessage& message) override { this->borrower.onMessage(lender, message); }
    void onLenderLost(const InstanceId& lender) override { this->borrower.onLinkLost(lender); }
    void sendToBorrower(std::uint64_t link, const LendingMessage& message) override;
    void sendToLender(const FleetMember& lender, const LendingMessage& message) override;
    bool isLinkOpen(const InstanceId& lender) const override { return this->links.isLinkOpen(lender); }
    void setTimer();

    const Clock& clock;
    LendingLinks links;
    MemoryAccount::Share unsent;
    Lender lender;
    Borrower borrower;
    OneShotTimer timer;
};

} // namespace lentiljunction
