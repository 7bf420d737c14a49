#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"
#include "lentiljunction/interactive/ReplicationStatus.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lentiljunction {

/// Finds an upstream that has all acknowledged commits of a group whose primary acknowledges a commit only once some
/// replicas have received it.
///
/// Such a commit must not be lost by a failover. It is in the log of the old primary and in those of as many other
/// upstreams. An upstream therefore has all of them when its log reaches
/// - that of the old primary, once this is a replica and acknowledges nothing more, or
/// - the longest log of the other upstreams, once so many of them are known, and receive nothing more, that those not
///   known cannot be all that have a commit. This log must also reach the one with which the old primary began: that
///   primary need not have replicated yet what it took over.
///
/// The log of an upstream that has left is known through its successor, unless that has a shorter log than another one: it may
/// have lost what was transferred.
///
/// Performs no I/O. Not thread-safe; the control thread owns it.
///
/// @see Failover
class CommitSurvey {
public:
    /// An upstream of the group, other than the old primary.
    struct Member {
        UpstreamId upstream;
        /// Whether it stops soon. It may be promoted, but only when no other one can be.
        bool isLeaving = false;
        /// Whether it is in the list of upstreams; one that was lost recently may return with its log.
        bool isListed = true;
        /// Whether this stands for an earlier start of an upstream that was restarted. Its log is gone, whatever the upstream
        /// reports now.
        bool isEarlierStart = false;
        /// When the process of a listed upstream started, as it reports.
        std::optional<WallTime> startedAt = std::nullopt;
        /// The member at the address of one that has left, to which its log was transferred.
        std::optional<UpstreamId> successor = std::nullopt;
    };

    /// @param numSynchronousReplicas replicas that have received a commit when it is acknowledged, at least 1
    /// @param baseline the log head of the old primary at its promotion
    CommitSurvey(UpstreamId oldPrimary, bool isOldPrimaryLeaving, std::size_t numSynchronousReplicas, LogPoint baseline);

    /// Sets the other upstreams of the group. What one reported that was restarted since is forgotten.
    void setMembers(std::vector<Member> newMembers);

    /// The old primary reported that it is a replica.
    void onDemoted(const ReplicationStatus& status);

    /// A member reported its log.
    ///
    /// @param isPaused whether it receives nothing from the old primary any more
    void onStatus(const UpstreamId& upstream, const ReplicationStatus& status, bool isPaused);

    /// The platform refused to promote an upstream, which must report its log again.
    void onRefused(const UpstreamId& upstream);

    /// @returns whether the old primary is known to acknowledge nothing more
    bool isDemoted() const { return this->demoted.has_value(); }

    /// @returns whether the logs of the listed members suffice to find all acknowledged commits
    bool mayConclude() const;

    /// @returns the members that must still be paused
    std::vector<UpstreamId> listUnpaused() const;

    /// @returns an upstream that has all acknowledged commits and stays, or nothing
    std::optional<UpstreamId> findPreferred() const;

    /// @returns any upstream that has all acknowledged commits, which may be the old primary, or nothing
    std::optional<UpstreamId> findAny() const;

    /// Chooses an upstream when nothing more can be learnt. Commits that only the silent ones have are lost.
    ///
    /// @returns the known upstream with the longest log, or nothing when none is known
    std::optional<UpstreamId> findLongest() const;

    /// @returns whether a listed member still has the log with which an earlier survey found that it has all acknowledged commits
    bool hasKeptLog(const UpstreamId& upstream) const;

    /// @returns the number of members that have not reported
    std::size_t countSilent() const;

private:
    struct Log {
        ReplicationStatus status;
        bool isPaused = false;
    };

    /// @returns the log point that covers all acknowledged commits, or nothing as long as it is not known
    std::optional<LogPoint> findRequired() const;
    std::optional<LogPoint> findLongestPaused() const;
    bool isPaused(const UpstreamId& upstream) const;
    /// @returns whether the log of a member that is not known is that of its successor
    bool hasSuccessorWith(const Member& member, const LogPoint& longest) const;
    std::optional<UpstreamId> findLongestOf(bool isLeaving, const LogPoint& required) const;
    bool isOldPrimaryEligible(const LogPoint& required) const;

    UpstreamId oldPrimary;
    bool isOldPrimaryLeaving;
    std::size_t numSynchronousReplicas;
    LogPoint baseline;
    std::vector<Member> members;
    std::map<UpstreamId, Log> logs;
    std::optional<ReplicationStatus> demoted;
    bool isOldPrimaryRefused = false;
};

} // namespace lentiljunction
