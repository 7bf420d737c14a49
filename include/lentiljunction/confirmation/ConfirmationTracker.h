#pragma once

#include "lentiljunction/bundle/Bundle.h"
#include "lentiljunction/core/Clock.h"
#include "lentiljunction/session/UpstreamStatus.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace lentiljunction {

/// Decides when a write that a primary committed is durable, so that it may be acknowledged.
///
/// With Durability::Replicated, a write is durable once a majority of the group's upstreams give,
/// each at one instant, one fenced term that is also the term of their log head, and a log that
/// contains the write and reaches that term's first entry. No promotion can lose it then: a
/// promotion needs a majority too, and takes the greatest log head among it.
///
/// With Durability::Primary, a majority must still be fenced at the write's term after the commit.
///
/// Rests on no clock and no lease. Not thread-safe; one traffic thread owns it.
///
/// @see UpstreamStatus, TransactionRunner
class ConfirmationTracker {
public:
    /// Names a write that waits.
    using Ticket = std::uint64_t;

    /// A committed write that waits for its proof.
    struct Write {
        Ticket ticket = 0;
        LogPoint point;
        /// When the answer of the commit arrived.
        TimePoint committedAt;
        TimePoint deadline;
    };

    /// What became of a write.
    enum class Verdict {
        /// It is durable.
        Confirmed,
        /// A majority went on without it; it will never be part of the database.
        Lost,
        /// Its deadline passed first.
        Expired,
    };

    /// A write with its verdict.
    struct Resolution {
        Ticket ticket = 0;
        Verdict verdict = Verdict::Expired;
    };

    /// @param majority how many upstreams make a majority
    /// @param durability when a write counts as done
    ConfirmationTracker(std::size_t majority, Durability durability);

    /// Takes the rule of a newer bundle.
    void setDurabilityRule(std::size_t newMajority, Durability newDurability);

    /// Adds a committed write.
    void add(const Write& write);

    /// @param upstream who reported
    /// @param status its report
    /// @param askedAt when the report was asked for
    void onStatus(const UpstreamId& upstream, const UpstreamStatus& status, TimePoint askedAt);

    /// @returns the writes that are decided, removed from the tracker
    std::vector<Resolution> takeResolved(TimePoint now);

    /// @returns whether an entry is known to be durable
    bool isDurable(LogPoint point) const;

    /// @returns whether no write waits
    bool isEmpty() const { return this->writes.empty(); }

private:
    struct Report {
        UpstreamStatus status;
        TimePoint askedAt;
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
