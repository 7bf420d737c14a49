#pragma once

#include "NullApplier.h"
#include "lentiljunction/bundle/Bundle.h"
#include "lentiljunction/confirmation/ConfirmationTracker.h"
#include "lentiljunction/core/Random.h"
#include "lentiljunction/failover/Promotion.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace lentiljunction::tests {

/// A group of three members with real logs, whose every message may be late, lost, repeated or out
/// of order, with two gates that promote and confirm. Drawn step by step from a seed.
///
/// No processes and no time: only the order of events counts.
class GroupModel {
public:
    /// @param seed draws the steps
    /// @param durability the rule of the confirmations
    GroupModel(std::uint64_t seed, Durability durability);
    ~GroupModel();

    /// Takes steps.
    void run(int numSteps);

    /// Delivers everything, promotes once more undisturbed, and compares.
    ///
    /// @returns what is wrong, or nothing
    std::optional<std::string> findViolation();

    /// @returns writes that were confirmed
    std::size_t getNumConfirmed() const { return this->confirmed.size(); }

    /// @returns promotions that were done
    std::size_t getNumPromotions() const { return this->numPromotions; }

private:
    struct Gate;

    void step();
    void write();
    void replicate();
    void replicateBetween(std::size_t from, std::size_t to, std::size_t numAtMost);
    void askStatus(Gate& gate, std::size_t member);
    void startPromotion(Gate& gate);
    void sendCommands(Gate& gate);
    void deliverOne();
    void resolve(Gate& gate);
    void notePrimaries();
    std::size_t indexOf(const UpstreamId& id) const;

    Random random;
    std::unique_ptr<NullApplier> data;
    std::vector<UpstreamId> ids;
    std::vector<std::unique_ptr<standins::DatabaseLog>> logs;
    std::vector<std::unique_ptr<Gate>> gates;
    std::vector<std::function<void()>> messages;
    std::map<Term, std::set<std::size_t>> primariesOfTerms;
    std::map<ConfirmationTracker::Ticket, LogPoint> written;
    std::vector<LogPoint> confirmed;
    std::vector<LogPoint> lost;
    std::optional<std::string> violation;
    ConfirmationTracker::Ticket nextTicket = 1;
    Term nextTerm { 2 };
    TimePoint now;
    std::uint64_t promotionsPerThousand;
    std::size_t numPromotions = 0;
};

} // namespace lentiljunction::tests
