#pragma once

#include "lentiljunction/bundle/Bundle.h"
#include "lentiljunction/core/Clock.h"
#include "lentiljunction/session/UpstreamStatus.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lentiljunction {

/// Decides when a write that the primary committed is durable and may be acknowledged.
///
/// With Durability::Replicated, a write is durable once a majority of the group's upstreams report the
/// same term, each in one status: as their fenced term and as the term of their log head, with a log that
/// contains the write and reaches the first entry of that term. No promotion can lose the write then:
/// a promotion also needs a majority, and selects the highest log head among it.
///
/// With Durability::Primary, a majority must still be fenced at the write's term after the commit.
///
/// Does not depend on clocks or leases. Not thread-safe; one traffic thread owns it.
///
/// @see UpstreamStatus, TransactionRunner
class ConfirmationTracker {
public:
    /// Identifies a pending write.
    using Ticket = std::uint64_t;

    /// A committed write that is not confirmed yet.
    struct Write {
        Ticket ticket = 0;
        LogPoint point;
        /// When the response to the COMMIT arrived.
        TimePoint committedAt;
        TimePoint deadline;
    };

    /// The result for a write.
    enum class Verdict {
        /// The write is durable.
        Confirmed,
        /// A majority has diverged from it; it will never be part of the database.
        Lost,
        /// Its deadline expired first.
        Expired,
    };

    /// A decided write and its verdict.
    struct Resolution {
        Ticket ticket = 0;
        Verdict verdict = Verdict::Expired;
    };

    /// @param majority the number of upstreams that form a majority
    /// @param durability the rule by which a write is confirmed
    ConfirmationTracker(std::size_t majority, Durability durability);

    /// Applies the rule of a newer bundle.
    void setDurabilityRule(std::size_t newMajority, Durability newDurability);

    /// Adds a committed write.
    void add(const Write& write);

    /// @param upstream the upstream that reported
    /// @param status the reported status
    /// @param requestedAt when the status request was sent
    void onStatus(const UpstreamId& upstream, const UpstreamStatus& status, TimePoint requestedAt);

    /// Removes the writes that are decided.
    ///
    /// @returns the removed writes with their verdicts
    std::vector<Resolution> takeResolved(TimePoint now);

    /// @returns whether an entry is known to be durable
    bool isDurable(LogPoint point) const;

    /// @returns whether no write is pending
    bool isEmpty() const { return this->writes.empty(); }

private:
    struct Report {
        UpstreamStatus status;
        TimePoint requestedAt;
    };

    std::optional<Verdict> decide(const Write& write) const;
    std::optional<Verdict> decideReplicated(LogPoint point) const;
    std::optional<Verdict> decideByPrimary(const Write& write) const;

    std::size_t majority;
    Durability durability;
    std::map<UpstreamId, Report> reports;
    std::vector<Write> writes;
};

} // namespace lentiljunction
