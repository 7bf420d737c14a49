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

/// Simulates a group of three members with real logs, and two gates that promote and confirm. Messages are
/// delayed, lost, repeated and reordered at random, reproducibly from a seed.
///
/// Uses no processes and no real time; only the order of events matters.
class GroupModel {
public:
    /// @param seed seeds the random steps
    /// @param durability the rule by which writes are confirmed
    GroupModel(std::uint64_t seed, Durability durability);
    ~GroupModel();

    /// Executes random steps.
    void run(int numSteps);

    /// Drops all pending messages, runs one more promotion without faults, and checks the writes that were
    /// confirmed or reported lost against the log of the new primary.
    ///
    /// @returns the violation, or nothing
    std::optional<std::string> findViolation();

    /// @returns the number of confirmed writes
    std::size_t getNumConfirmed() const { return this->confirmed.size(); }

    /// @returns the number of completed promotions
    std::size_t getNumPromotions() const { return this->numPromotions; }

private:
    struct Gate;

    void step();
    void write();
    void replicate();
    void replicateBetween(std::size_t from, std::size_t to, std::size_t numAtMost);
    void requestStatus(Gate& gate, std::size_t member);
    void startPromotion(Gate& gate);
    void sendCommands(Gate& gate);
    void deliverOne();
    void resolve(Gate& gate);
    void recordPrimaries();
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
