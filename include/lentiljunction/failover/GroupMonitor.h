#pragma once

#include "lentiljunction/bundle/Bundle.h"
#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Random.h"
#include "lentiljunction/session/UpstreamStatus.h"

#include <map>
#include <optional>
#include <vector>

namespace lentiljunction {

/// Watches one database group from one of its gates and decides when its primary must be replaced.
///
/// The primary counts as failed when this gate's own probes fail and another gate agrees or does
/// not answer: a cut link between two instances is no failed primary. Nothing starts unless a
/// majority of the upstreams answers here, so a gate that is cut off itself fences nobody. The
/// gates try in the order of their own upstreams' log heads, each after a jittered back-off.
///
/// Also asks for a promotion when the primary leaves, or when an upstream stays fenced above the
/// primary's term after a promotion that was given up.
///
/// Belongs to the control thread.
///
/// @see Promotion, TermReserve
class GroupMonitor {
public:
    /// What the owner is to do.
    enum class Action {
        None,
        /// Ask the other gates of the group whether they reach the primary.
        AskOpinions,
        /// Start a promotion.
        Promote,
    };

    /// @param database the group
    /// @param ownUpstream the upstream this instance is the gate of
    /// @param seed for the jitter of the back-off
    GroupMonitor(DatabaseConfig database, UpstreamId ownUpstream, std::uint64_t seed);

    /// @param upstream who answered a probe
    /// @param status its report
    void onStatus(const UpstreamId& upstream, const UpstreamStatus& status, TimePoint now);

    /// @param upstream who did not answer a probe in time, or refused the connection
    void onProbeFailed(const UpstreamId& upstream, TimePoint now);

    /// @param numAsked how many gates were asked
    void onOpinionsAsked(std::size_t numAsked, TimePoint now);

    /// @param reachesPrimary what another gate says
    void onOpinion(bool reachesPrimary);

    /// Notes that a promotion ended, well or not; another may start after a back-off.
    void onPromotionEnded(TimePoint now);

    /// @returns what is to be done now; call it after every event and every few milliseconds
    Action getNextAction(TimePoint now);

    /// @returns the primary of the highest term seen, or nothing
    std::optional<UpstreamId> getPrimary() const;

    /// @returns the highest term that any upstream was fenced at
    Term getHighestTerm() const;

    /// @returns the term of the primary, zero when none was seen
    Term getPrimaryTerm() const;

    /// @returns whether the primary answers probes here
    bool isPrimaryReachable() const;

    /// @returns whether this upstream answers probes here
    bool isReachable(const UpstreamId& upstream) const;

    /// @returns the last report of an upstream, or nullptr
    const UpstreamStatus* findStatus(const UpstreamId& upstream) const;

    /// @returns the upstreams that answer here and do not leave
    std::vector<UpstreamId> getPromotableUpstreams() const;

private:
    struct Watch {
        std::optional<UpstreamStatus> status;
        int numFailures = 0;
        bool wasProbed = false;
    };

    enum class Phase {
        Watching,
        Asking,
        BackingOff,
        Promoting,
    };

    bool needsPromotion(TimePoint now);
    bool isStuckFenced(TimePoint now);
    bool hasMajority() const;
    std::size_t getOrder() const;
    void deferToOthers(TimePoint now);
    void startBackOff(TimePoint now);
    bool isOpinionDecided(TimePoint now) const;

    DatabaseConfig database;
    UpstreamId ownUpstream;
    Random random;
    std::map<UpstreamId, Watch> watches;
    Phase phase = Phase::Watching;
    TimePoint phaseEnds;
    std::size_t numAsked = 0;
    std::size_t numOpinions = 0;
    std::size_t numAgreeing = 0;
    std::optional<TimePoint> stuckSince;
    Term highestSeen;
};

} // namespace lentiljunction
