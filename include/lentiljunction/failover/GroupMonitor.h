#pragma once

#include "lentiljunction/bundle/Bundle.h"
#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Random.h"
#include "lentiljunction/session/UpstreamStatus.h"

#include <map>
#include <optional>
#include <vector>

namespace lentiljunction {

/// Monitors one database group from one of its gates and decides when to replace its primary.
///
/// The primary counts as failed when the probes of this gate fail and another gate agrees or does not
/// answer: a broken link between this gate and the primary is no failure of the primary. No promotion starts
/// unless a majority of the upstreams answers this gate, so a partitioned gate fences no upstream. The
/// gates start in the order of the log heads of their own upstreams, each after a jittered back-off.
///
/// Also requests a promotion when the primary is leaving, or when an upstream stays fenced above the
/// primary's term after an abandoned promotion.
///
/// Not thread-safe; the control thread owns it.
///
/// @see Promotion, TermReserve
class GroupMonitor {
public:
    /// What the owner has to do next.
    enum class Action {
        None,
        /// Ask the other gates of the group whether they can reach the primary.
        RequestReachabilityReports,
        /// Start a promotion.
        Promote,
    };

    /// @param database the group
    /// @param ownUpstream the upstream whose gate this instance is
    /// @param seed seeds the jitter of the back-off
    GroupMonitor(DatabaseConfig database, UpstreamId ownUpstream, std::uint64_t seed);

    /// @param upstream the upstream that answered a probe
    /// @param status the reported status
    void onStatus(const UpstreamId& upstream, const UpstreamStatus& status, TimePoint now);

    /// @param upstream the upstream that did not answer a probe in time, or refused the connection
    void onProbeFailed(const UpstreamId& upstream, TimePoint now);

    /// @param numRequested the number of gates that were asked for an opinion
    void onReachabilityRequested(std::size_t numRequested, TimePoint now);

    /// @param reachesPrimary whether another gate can reach the primary
    void onReachabilityReport(bool reachesPrimary);

    /// Records that a promotion succeeded or failed; another may start after a back-off.
    void onPromotionEnded(TimePoint now);

    /// Advances the state. Call this after every event and every few milliseconds.
    ///
    /// @returns what to do now
    Action getNextAction(TimePoint now);

    /// @returns the primary of the highest reported term, or nothing
    std::optional<UpstreamId> getPrimary() const;

    /// @returns the highest term at which any upstream is fenced
    Term getHighestTerm() const;

    /// @returns the term of the primary; zero when no primary was reported
    Term getPrimaryTerm() const;

    /// @returns whether the primary answers the probes of this gate
    bool isPrimaryReachable() const;

    /// @returns whether an upstream answers the probes of this gate
    bool isReachable(const UpstreamId& upstream) const;

    /// @returns the last reported status of an upstream, or nullptr
    const UpstreamStatus* findStatus(const UpstreamId& upstream) const;

    /// @returns the upstreams that answer the probes of this gate and are not leaving
    std::vector<UpstreamId> getPromotableUpstreams() const;

private:
    struct ProbeState {
        std::optional<UpstreamStatus> status;
        int numFailures = 0;
        bool wasProbed = false;
    };

    enum class Phase {
        Monitoring,
        AwaitingReachabilityReports,
        BackingOff,
        Promoting,
    };

    bool needsPromotion(TimePoint now);
    bool hasPersistentTermMismatch(TimePoint now);
    bool hasMajority() const;
    std::size_t countUpstreamsAhead() const;
    void deferToOtherGates(TimePoint now);
    void startBackOff(TimePoint now);
    bool isFailureConfirmed(TimePoint now) const;

    DatabaseConfig database;
    UpstreamId ownUpstream;
    Random random;
    std::map<UpstreamId, ProbeState> probeStates;
    Phase phase = Phase::Monitoring;
    TimePoint phaseEndsAt;
    std::size_t numRequested = 0;
    std::size_t numReports = 0;
    std::size_t numAgreeing = 0;
    std::optional<TimePoint> termMismatchSince;
    Term highestSeen;
};

} // namespace lentiljunction
