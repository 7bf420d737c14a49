#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"
#include "lentiljunction/session/TermHistory.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace lentiljunction {

/// Proves how old the data of a log is.
///
/// The head of a primary's log, asked for at some moment, covers every commit that was acknowledged
/// before that moment. So a replica whose log reaches the head has data at least as fresh as then.
///
/// Times are on the clock that counts suspensions. Not thread-safe; the traffic thread owns it.
class FreshnessProofs {
public:
    /// The newest proof of one group.
    struct Newest {
        GroupId group;
        std::uint64_t generation = 0;
        BootTime askedAt;
        LogPoint head;
    };

    /// Takes note that a group has a new primary.
    ///
    /// Whatever was acknowledged before and survived is at or before the head with which it began, so
    /// proofs from the reign before stay valid up to there. Those from earlier reigns are dropped.
    ///
    /// @param baseline the head of the new primary's log when it took the lead
    void onNewPrimary(const GroupId& group, std::uint64_t generation, LogPoint baseline);

    /// Notes the head of a primary's log.
    ///
    /// @param askedAt when the question was sent, under a permit that was valid when the answer came
    /// @param generation that of the primary
    void add(const GroupId& group, std::uint64_t generation, BootTime askedAt, LogPoint head);

    /// @param notBefore the proof must cover every commit acknowledged before this moment
    /// @returns the least point that a log must reach for that, or nothing without a proof
    std::optional<LogPoint> findRequired(const GroupId& group, std::uint64_t generation, BootTime notBefore) const;

    /// @returns when the newest proof was asked for, or nothing
    std::optional<BootTime> findNewest(const GroupId& group, std::uint64_t generation) const;

    /// @returns the newest proof of each group, to be handed on to other instances
    std::vector<Newest> listNewest() const;

private:
    struct Proof {
        BootTime askedAt;
        LogPoint head;
    };

    struct History {
        std::uint64_t generation = 0;
        std::deque<Proof> proofs;
    };

    std::map<GroupId, History> histories;
};

} // namespace lentiljunction
