#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"
#include "lentiljunction/interactive/ReplicationStatus.h"
#include "lentiljunction/leadership/CommitSurvey.h"
#include "lentiljunction/leadership/PrimaryRecord.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lentiljunction {

/// Maximum time from the decision to its entry in the primary record; allows several calls to a slow
/// store. After a longer time the primary may be reachable again and must be checked anew.
constexpr std::chrono::milliseconds announcementTimeout { 1000 };

/// State machine of one failover: the replacement of a group's primary by the failover coordinator.
///
/// 1. The primary record marks the group as changing, so that no instance starts to use the primary.
/// 2. Each instance confirms that it read this, or its lease expires. Meanwhile the replicas report
///    their log positions.
/// 3. The primary record lists the replica with the highest log position as one that may be called. Then it is promoted. If
///    the response is lost, the call is repeated for the same replica, even if a better one has become reachable.
/// 4. Once the replica reports that it is the primary, the primary record names it.
///
/// A call is never taken back: it stays in the record for as long as it may take effect, whatever follows, unless the
/// platform refused each call for that upstream. A successor of the coordinator first calls the same upstream again: if each
/// chose anew, upstreams would be promoted by turns. An upstream that was called in vain several times is passed over for a while.
///
/// Where commits wait for replicas, step 3 promotes only an upstream that has all acknowledged commits; see
/// requireAcknowledgedCommits().
///
/// Performs no I/O: it takes events and returns the actions to carry out.
///
/// Not thread-safe; the control thread owns it.
///
/// @code
/// Failover failover(group, primary, replicas, false, clock.now());
/// for (const Failover::Action& action : failover.takeActions())
///     carryOut(action);
/// @endcode
class Failover {
public:
    struct Action {
        enum class Kind {
            /// Write the group's entry with PrimaryPhase::Changing.
            WriteChanging,
            /// Send the record to all instances and collect their confirmations.
            RequestConfirmations,
            /// Request the log position of an upstream.
            RequestStatus,
            /// Turn the old primary into a replica.
            DemoteOldPrimary,
            /// Stop a replica from receiving.
            PauseReplica,
            /// Read the list of upstreams from the store, which shows restarts.
            RefreshUpstreams,
            /// Add an upstream to the group's open promotions.
            RecordPromotion,
            /// Send the promotion call for an upstream.
            Promote,
            /// Ask the promoted upstream whether it is the primary.
            RequestPromotedStatus,
            /// Write the group's entry with the new primary.
            WriteStable,
        };

        Kind kind;
        UpstreamId upstream;
    };

    /// @param oldPrimary the primary to be replaced
    /// @param candidates the other upstreams of the group
    /// @param isPlanned whether the old primary still works, so that a replica can catch up first
    /// @param knownTerm the greatest term of the group in the primary record
    /// @param now the start of the failover
    Failover(GroupId group, UpstreamId oldPrimary, std::vector<UpstreamId> candidates, bool isPlanned, Term knownTerm, TimePoint now);

    /// Takes over the calls of former coordinators of this failover, which may still take effect. Call it before the first
    /// action is taken.
    ///
    /// @param upstreams the upstreams that were called, the last one at the end
    void inheritPromotions(std::vector<UpstreamId> upstreams);

    /// Compares the logs of the candidates with that of the old primary, where commits do not wait for replicas. Call it before the
    /// first action is taken.
    ///
    /// A log has diverged if it may have entries of an earlier term that did not survive a failover: it is that of a former primary,
    /// or of its replica, that never followed the old primary. All reads since that failover lacked these entries. So such a log is
    /// promoted only when no other one has become known for some time.
    ///
    /// @param baseline the log head of the old primary at its promotion
    /// @param leaving the candidates that stop soon. One of them is promoted only instead of a log that ends in an earlier term,
    ///     since it must be replaced again.
    /// @param giveUpAt when any candidate is promoted, so that the group does not stay without a primary
    void compareLogs(LogPoint baseline, std::set<UpstreamId> leaving, TimePoint giveUpAt);

    /// Promotes only an upstream that has all acknowledged commits. Call it before the first action is taken.
    ///
    /// @param survey finds such an upstream
    /// @param isRecordConfirmed whether no failover can be missing from the record, so that the old primary was the last one
    /// @param giveUpAt when the known upstream with the longest log is promoted nevertheless, so that the group does not
    /// stay without a primary
    void requireAcknowledgedCommits(CommitSurvey survey, bool isRecordConfirmed, TimePoint giveUpAt);

    /// Updates the other upstreams of the group; only with requireAcknowledgedCommits().
    void setMembers(const std::vector<CommitSurvey::Member>& members);

    /// A replica reported its status in response to a pause.
    ///
    /// @param term the term of the pause, which has no effect unless it is above that of the replica
    void onReplicaPaused(const UpstreamId& upstream, const ReplicationStatus& status, Term term);

    /// The list of upstreams was read, and setMembers() called with it, or the read failed.
    void onUpstreamsRefreshed(bool isRead);

    /// @returns the term for a pause, above any known one
    Term getPauseTerm() const { return this->greatestTerm.next(); }

    /// Tells a failover that another coordinator would only delay from one that has stalled. A call counts for the time in which
    /// it usually takes effect.
    ///
    /// @returns whether the promotion waits for an upstream that may hold acknowledged commits, for leases to expire, or for the
    ///     effect of a call
    bool isProgressing(BootTime bootNow, TimePoint now) const;

    /// @returns the number of silent upstreams whose commits may be lost, zero unless the failover gave up waiting for them
    std::size_t getNumGivenUp() const { return this->numGivenUp; }

    /// Limits the time until the primary record marks the group as changing: a store that was unreachable may
    /// accept this write long after the primary recovered.
    ///
    /// @returns whether the group may still be marked as changing
    bool mayAnnounce(TimePoint now) const;

    /// The store accepted the group's entry with PrimaryPhase::Changing.
    ///
    /// @param acknowledgedAt when its response arrived
    void onChangingWritten(BootTime acknowledgedAt, TimePoint now);

    /// Sets the instances that may hold a lease; only the first call counts.
    void onInstancesListed(const std::set<InstanceId>& instances);

    /// An instance confirmed that it no longer uses the old primary.
    void onInstanceConfirmed(const InstanceId& instance);

    /// @returns the instances that have not confirmed yet
    std::set<InstanceId> getUnconfirmedInstances() const { return this->unconfirmedInstances.value_or(std::set<InstanceId>()); }

    /// An upstream reported its status.
    void onStatus(const UpstreamId& upstream, const ReplicationStatus& status);

    /// The old primary reported that it is now a replica.
    void onOldPrimaryDemoted(const ReplicationStatus& status);

    /// The store accepted the upstream that is to be called as an open promotion.
    ///
    /// @param wasRecorded whether the record already listed it, because of a former process with the same fencing token
    void onPromotionRecorded(bool wasRecorded, TimePoint now);

    /// A promotion call is being sent.
    void onPromotionSent(TimePoint now);

    /// The platform answered a promotion call.
    ///
    /// @param isAccepted false when the platform refuses to promote this upstream
    void onPromotionResponse(bool isAccepted, TimePoint now);

    /// A promotion call got no response; the promotion may have happened nevertheless.
    void onPromotionTimeout(TimePoint now);

    /// A promotion call was not sent.
    void onPromotionNotSent(TimePoint now);

    /// @returns the upstreams that only this failover called, and of which the platform refused each call
    std::set<UpstreamId> listRefusedPromotions() const;

    /// The store accepted the group's entry with the new primary.
    void onStableWritten() { this->step = Step::Done; }

    /// @returns the actions to carry out now; each one is returned once
    std::vector<Action> takeActions(BootTime bootNow, TimePoint now);

    /// @returns the upstream that is being promoted, or nothing while none is selected
    const std::optional<UpstreamId>& getPromotionTarget() const { return this->promotionTarget; }

    /// @returns the log head and term of the new primary; valid after it reported that it is the primary
    const ReplicationStatus& getNewPrimaryStatus() const { return this->newPrimaryStatus; }

    const GroupId& getGroup() const { return this->group; }
    const UpstreamId& getOldPrimary() const { return this->oldPrimary; }

    /// @returns whether the primary record names the new primary
    bool isDone() const { return this->step == Step::Done; }

    /// @returns the name of the current step for the log
    const char* getStepName() const;

private:
    enum class Step {
        /// The primary record is being written with PrimaryPhase::Changing.
        Announcing,
        /// Waits for the confirmations of the instances and the log positions of the replicas.
        Surveying,
        /// The primary record is being written with the upstream that is to be called.
        Recording,
        /// Waits for the response to a promotion call.
        Promoting,
        /// Waits until the promoted upstream reports that it is the primary.
        Confirming,
        /// The primary record is being written with the new primary.
        Publishing,
        Done,
    };

    void queueAction(Action::Kind kind, const UpstreamId& upstream = UpstreamId()) { this->actions.push_back({ kind, upstream }); }
    /// @returns whether each instance has confirmed or can no longer have a valid lease
    bool isOldPrimaryUnused(BootTime bootNow) const;
    bool isSurveyComplete(TimePoint now) const;
    bool isCurrentPrimary(const UpstreamId& candidate) const;
    std::optional<UpstreamId> selectPromotionTarget(TimePoint now) const;
    /// @returns whether the log of a candidate may have entries that did not survive an earlier failover
    bool isDiverged(const UpstreamId& candidate) const;
    /// @returns the candidate with the longest log among those that leave, or stay
    std::optional<UpstreamId> findLongest(bool isLeaving) const;
    /// @returns whether a candidate that leaves may have to be promoted instead of one that stays
    bool needsLeaving() const;
    /// @returns whether all candidates that leave, or stay, have reported their logs or were refused
    bool haveAnswered(bool isLeaving) const;
    /// @returns whether some candidates report their logs, and none has one that may be promoted
    bool hasOnlyDivergedLogs() const;
    bool isInherited(const UpstreamId& upstream) const;
    /// @returns the upstream that a former coordinator called, if it responds
    std::optional<UpstreamId> findInheritedTarget() const;
    void advanceSurvey(BootTime bootNow, TimePoint now);
    void advanceCommitSurvey(BootTime bootNow, TimePoint now);
    void queueCommitRequests(bool isUnused, TimePoint now);
    /// Requests the list of upstreams unless it was requested after the last log was reported. An upstream that was restarted
    /// without its log must not be taken for the one that had it.
    ///
    /// @returns whether the logs are those of the upstreams in the list
    bool confirmLogs();
    std::optional<UpstreamId> findCommitTarget(TimePoint now);
    std::optional<UpstreamId> findPromotedCandidate() const;
    void startPromotion(const UpstreamId& target, TimePoint now);
    /// Passes over a candidate until the refusals expire.
    void passOver(const UpstreamId& candidate);
    void advanceConfirmation(TimePoint now);

    GroupId group;
    UpstreamId oldPrimary;
    std::vector<UpstreamId> candidates;
    bool isPlanned;
    /// The term of the old primary in the primary record.
    Term recordedTerm;
    /// The greatest term reported by any upstream of the group.
    Term greatestTerm;
    /// The promotion has taken effect when the target reports to be the primary in this term or a later one.
    Term requiredTerm;
    Step step = Step::Announcing;
    std::vector<Action> actions;
    /// When every lease on a record without this failover has expired.
    BootTime leasesEnd;
    TimePoint startedAt;
    TimePoint surveyStartedAt;
    TimePoint lastRequestAt;
    TimePoint promotedAt;
    /// Nothing until the instances are listed.
    std::optional<std::set<InstanceId>> unconfirmedInstances;
    std::map<UpstreamId, ReplicationStatus> statuses;
    std::optional<ReplicationStatus> oldPrimaryStatus;
    /// Candidates that the platform refused to promote, or that were called in vain.
    std::set<UpstreamId> refusedCandidates;
    /// Those of them that were called in vain.
    std::set<UpstreamId> vainCandidates;
    std::optional<UpstreamId> promotionTarget;
    /// When the present target was chosen, and when it was first called.
    TimePoint targetSince;
    std::optional<TimePoint> calledAt;
    /// Calls for the present target that were accepted and have not taken effect in time.
    std::size_t numVainCalls = 0;
    std::vector<UpstreamId> inheritedTargets;
    /// The calls of this failover for one upstream.
    struct CallCount {
        std::size_t sent = 0;
        /// Refused by the platform, or not sent.
        std::size_t withoutEffect = 0;
    };

    /// For each upstream that is in the record because of this failover.
    std::map<UpstreamId, CallCount> callCounts;
    ReplicationStatus newPrimaryStatus;

    /// Where commits do not wait for replicas.
    LogPoint baseline;
    std::set<UpstreamId> leavingCandidates;
    /// Set where an upstream must have all acknowledged commits to be promoted.
    std::optional<CommitSurvey> commits;
    bool isRecordConfirmed = false;
    TimePoint giveUpAt;
    /// When the old primary was no longer used by any instance.
    std::optional<TimePoint> unusedSince;
    std::size_t numGivenUp = 0;
    /// Counts the logs that were reported, when the list of upstreams was last requested, and read.
    std::size_t numLogs = 0;
    std::size_t numLogsAtRequest = 0;
    std::optional<std::size_t> numLogsConfirmed;
    bool isRefreshing = false;
};

} // namespace lentiljunction
