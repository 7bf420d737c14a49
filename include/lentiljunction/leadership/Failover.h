#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"
#include "lentiljunction/interactive/LeadStatus.h"
#include "lentiljunction/leadership/PrimaryRecord.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lentiljunction {

/// One replacement of a group's primary, as the holder of the duty carries it out.
///
/// 1. The lead record says that the group changes, so that no instance begins to use the primary.
/// 2. Each instance confirms that, or its permit runs out. The replicas are asked how far they are.
/// 3. The replica that received most is promoted. The answer may be lost; the call is then repeated
///    for the same replica, whatever else is reachable by then.
/// 4. Once the replica leads, the lead record names it.
///
/// A decision class: it is told what happened and returns what to do next.
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
            /// Tell all instances, and collect their confirmations.
            RequestConfirmations,
            /// Ask an upstream how far its log is.
            RequestStatus,
            /// Make the old primary a replica.
            DemoteOldPrimary,
            Promote,
            /// Ask the promoted upstream whether it leads.
            RequestPromotedStatus,
            /// Write the group's entry with the new primary.
            WriteStable,
        };

        Kind kind;
        UpstreamId upstream;
    };

    /// @param group the group
    /// @param oldPrimary the primary to be replaced
    /// @param candidates the other upstreams of the group that are not about to leave
    /// @param isPlanned the old primary still works and lets a replica catch up first
    /// @param knownTerm the greatest term that the record knows of the group
    Failover(GroupId group, UpstreamId oldPrimary, std::vector<UpstreamId> candidates, bool isPlanned, Term knownTerm, TimePoint now);

    /// A store that was away may take an announcement long after its reason is gone.
    ///
    /// @returns whether the change may still be announced
    bool mayAnnounce(TimePoint now) const;

    /// The store took the entry with PrimaryPhase::Changing.
    ///
    /// @param acknowledgedAt when its answer came
    void onChangingWritten(BootTime acknowledgedAt, TimePoint now);

    /// All instances that may hold a permit are known.
    void onInstancesListed(const std::set<InstanceId>& instances);

    /// An instance took note of the change.
    void onInstanceConfirmed(const InstanceId& instance);

    /// @returns the instances that have not answered so far
    std::set<InstanceId> getUnconfirmedInstances() const { return this->unconfirmedInstances.value_or(std::set<InstanceId>()); }

    /// An upstream answered.
    void onStatus(const UpstreamId& upstream, const LeadStatus& status);

    /// The old primary answered that it is a replica now.
    void onOldPrimaryDemoted(const LeadStatus& status);

    /// @param isAccepted whether the platform took the promotion; false when it refuses this upstream
    void onPromotionResponse(bool isAccepted, TimePoint now);

    /// No answer came; the promotion may have been taken.
    void onPromotionTimeout(TimePoint now);

    /// The store took the entry with the new primary.
    void onStableWritten() { this->step = Step::Done; }

    /// @returns what to do now; each action is returned once
    std::vector<Action> takeActions(BootTime bootNow, TimePoint now);

    /// @returns the upstream that is being promoted, or nothing yet
    const std::optional<UpstreamId>& getPromotionTarget() const { return this->promotionTarget; }

    /// @returns the head of the new primary's log and its term; valid once it leads
    const LeadStatus& getNewPrimaryStatus() const { return this->newPrimaryStatus; }

    const GroupId& getGroup() const { return this->group; }
    const UpstreamId& getOldPrimary() const { return this->oldPrimary; }

    /// @returns whether the new primary is in the record
    bool isDone() const { return this->step == Step::Done; }

    /// @returns the step for logs
    const char* getStepName() const;

private:
    enum class Step {
        Announcing,
        Surveying,
        Promoting,
        Confirming,
        Publishing,
        Done,
    };

    void queueAction(Action::Kind kind, const UpstreamId& upstream = UpstreamId()) { this->actions.push_back({ kind, upstream }); }
    bool mayPromote(BootTime bootNow) const;
    bool isSurveyComplete(TimePoint now) const;
    bool isCurrentPrimary(const UpstreamId& candidate) const;
    std::optional<UpstreamId> selectPromotionTarget() const;
    void advanceSurvey(BootTime bootNow, TimePoint now);
    void advanceConfirmation(TimePoint now);

    GroupId group;
    UpstreamId oldPrimary;
    std::vector<UpstreamId> candidates;
    bool isPlanned;
    /// The greatest term that was seen of the group.
    Term greatestTerm;
    /// The chosen upstream leads once it says so in this term or a later one.
    Term requiredTerm;
    Step step = Step::Announcing;
    std::vector<Action> actions;
    BootTime leasesEnd;
    TimePoint startedAt;
    TimePoint surveyStartedAt;
    TimePoint lastRequestAt;
    TimePoint promotedAt;
    std::optional<std::set<InstanceId>> unconfirmedInstances;
    std::map<UpstreamId, LeadStatus> statuses;
    std::optional<LeadStatus> oldPrimaryStatus;
    std::set<UpstreamId> refusedCandidates;
    std::optional<UpstreamId> promotionTarget;
    LeadStatus newPrimaryStatus;
};

} // namespace lentiljunction
