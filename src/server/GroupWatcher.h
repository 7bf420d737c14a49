#pragma once

#include "UpstreamGate.h"
#include "lentiljunction/failover/GroupMonitor.h"
#include "lentiljunction/failover/Promotion.h"
#include "lentiljunction/failover/TermReserve.h"

#include <map>
#include <memory>
#include <optional>

namespace lentiljunction {

/// Probes the upstreams of one group from one of its gates and carries out promotions.
///
/// The probe interval depends on the traffic: long while the group is idle, short while it is in
/// use, and shortest while a write waits for its confirmation.
///
/// Belongs to the control thread.
class GroupWatcher {
public:
    /// Receives the results of probes and promotions.
    class Listener {
    public:
        virtual ~Listener() = default;

        virtual void onProbed(const DatabaseId& database, const UpstreamId& upstream, const UpstreamStatus& status, TimePoint requestedAt) = 0;
        virtual void onPrimaryReachable(const DatabaseId& database, bool isReachable) = 0;

        /// Requests the opinions of the group's other gates: whether they reach the primary.
        ///
        /// @returns the number of gates that were sent a request
        virtual std::size_t requestReachabilityReports(const DatabaseId& database, const std::optional<UpstreamId>& primary) = 0;

        /// Reserves terms above this one in the store. onTerms() receives the result.
        virtual void requestTerms(const DatabaseId& database, Term above) = 0;

        /// @param failureReason empty when the promotion succeeded
        virtual void onPromotionEnded(const DatabaseId& database, const PrimaryHint& primary, const std::string& failureReason) = 0;
    };

    /// @param loop the control loop; must outlive the watcher
    /// @param clock the source of time; must outlive the watcher
    /// @param connector opens connections of the control user; must outlive the watcher
    /// @param listener receives the results; must outlive the watcher
    /// @param database the group
    /// @param profile the group's profile
    /// @param ownUpstream the upstream for which this instance is the gate
    GroupWatcher(Scheduler& loop, const Clock& clock, SqlConnector& connector, Listener& listener, const DatabaseConfig& database, const ProfileConfig& profile, const UpstreamId& ownUpstream);
    ~GroupWatcher();
    GroupWatcher(const GroupWatcher&) = delete;
    GroupWatcher& operator=(const GroupWatcher&) = delete;

    /// Sets whether the watcher may replace the primary. Only gates of the group may.
    void setPromotionAllowed(bool promoting) { this->isPromotionAllowed = promoting; }

    /// Marks the group as in use for a few seconds, which shortens the probe interval.
    void setActive();

    /// @returns whether setActive() was called within the last few seconds
    bool isActive() const;

    /// @returns whether this instance is a gate of the group, was active lately, or carries out a promotion
    bool isNeeded() const { return this->isPromotionAllowed || this->promotion || this->isActive(); }

    /// Probes replicas at the shortest interval for a short time, because a write waits for its
    /// confirmation or the primary changed.
    void startFastProbing();

    /// Sends due probes and advances failover. Call it every few milliseconds.
    void onTick();

    /// Processes another gate's opinion on whether the primary can be reached.
    void onReachabilityReport(bool reachesPrimary) { this->monitor.onReachabilityReport(reachesPrimary); }

    /// Adds a block of terms reserved in the store.
    ///
    /// @param grant the terms, or nothing when the reservation failed
    void onTerms(const std::optional<TermRecord::Grant>& grant);

    /// @returns whether the last probe of the upstream was answered
    bool reaches(const UpstreamId& upstream) const;

    /// @returns the group's primary, or nothing before one was seen
    std::optional<PrimaryHint> getPrimary() const;

    /// @returns whether the watcher was created with exactly this configuration
    bool hasConfiguration(const DatabaseConfig& otherDatabase, const ProfileConfig& otherProfile, const UpstreamId& otherUpstream) const;

    /// @returns the number of usable terms in reserve
    std::size_t getNumTerms() const { return this->reserve.getNumUsable(this->monitor.getHighestTerm()); }

private:
    /// The connection to one upstream and the schedule of its probes.
    struct ProbeState {
        std::shared_ptr<SqlConnection> connection;
        bool isOpen = false;
        bool isBusy = false;
        int numFailures = 0;
        TimePoint requestedAt;
        TimePoint nextAt;
    };

    void probe(const UpstreamConfig& upstream);
    void sendProbe(const UpstreamConfig& upstream);
    void onProbeReply(const UpstreamConfig& upstream, const SqlReply& reply);
    void onProbeLost(const UpstreamConfig& upstream);
    Duration getInterval(const UpstreamId& upstream) const;
    void makeProbesDue();
    void evaluatePrimary();
    void startPromotion();
    void advancePromotion();
    void sendCommand(const Promotion::Command& command);
    void onCommandReply(const Promotion::Command& command, const SqlReply& reply);
    void endPromotion();

    Scheduler& loop;
    const Clock& clock;
    SqlConnector& connector;
    Listener& listener;
    DatabaseConfig database;
    ProfileConfig profile;
    UpstreamId ownUpstream;
    GroupMonitor monitor;
    TermReserve reserve;
    std::map<UpstreamId, ProbeState> probeStates;
    std::optional<Promotion> promotion;
    std::map<std::uint64_t, std::shared_ptr<SqlConnection>> commandConnections;
    std::uint64_t nextCommand = 1;
    bool isPromotionAllowed = false;
    bool isRequestingTerms = false;
    TimePoint nextTermRequest;
    Duration termRetryDelay;
    TimePoint activeUntil;
    TimePoint fastUntil;
    std::optional<bool> wasReachable;
    /// Handlers that may outlive this object hold a weak pointer to it and return when it expired.
    std::shared_ptr<bool> lifetime;
};

} // namespace lentiljunction
