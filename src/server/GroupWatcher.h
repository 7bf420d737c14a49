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
/// How often it probes follows the traffic: seldom while the group is idle, often while it is in
/// use, and in quick succession while a write waits for its confirmation.
///
/// Belongs to the control thread.
class GroupWatcher {
public:
    /// Is told what the watcher finds.
    class Listener {
    public:
        virtual ~Listener() = default;

        virtual void onProbed(const DatabaseId& database, const UpstreamId& upstream, const UpstreamStatus& status, TimePoint requestedAt) = 0;
        virtual void onPrimaryReachable(const DatabaseId& database, bool isReachable) = 0;

        /// Asks the other gates of the group whether they reach the primary.
        ///
        /// @returns how many were asked
        virtual std::size_t requestOpinions(const DatabaseId& database, const std::optional<UpstreamId>& primary) = 0;

        /// Asks the store for terms above this one.
        virtual void requestTerms(const DatabaseId& database, Term above) = 0;

        /// @param failureReason empty when the promotion was done
        virtual void onPromotionEnded(const DatabaseId& database, const PrimaryHint& primary, const std::string& failureReason) = 0;
    };

    /// @param loop the control loop; must outlive the watcher
    /// @param clock the source of time; must outlive the watcher
    /// @param connector opens connections of the control user; must outlive the watcher
    /// @param listener told what is found; must outlive the watcher
    /// @param database the group
    /// @param profile the group's profile
    /// @param ownUpstream the upstream this instance is the gate of
    GroupWatcher(Scheduler& loop, const Clock& clock, SqlConnector& connector, Listener& listener, const DatabaseConfig& database, const ProfileConfig& profile, const UpstreamId& ownUpstream);
    ~GroupWatcher();
    GroupWatcher(const GroupWatcher&) = delete;
    GroupWatcher& operator=(const GroupWatcher&) = delete;

    /// Sets whether this instance is a gate of the group, and so may replace its primary.
    void setPromotionAllowed(bool promoting) { this->isPromotionAllowed = promoting; }

    /// Notes that the group is in use.
    void setActive();

    /// @returns whether the group was in use a moment ago
    bool isActive() const;

    /// Notes that a write waits for its confirmation.
    void startFastProbing();

    /// Lets time pass; call it every few milliseconds.
    void onTick();

    /// Takes another gate's opinion.
    void onOpinion(bool reachesPrimary) { this->monitor.onOpinion(reachesPrimary); }

    /// Takes a block of terms from the store, or the news that none could be had.
    void onTerms(const std::optional<TermRecord::Grant>& grant);

    /// @returns whether the last probe of the upstream was answered
    bool reaches(const UpstreamId& upstream) const;

    /// @returns the group's primary, if one was seen
    std::optional<PrimaryHint> getPrimary() const;

    /// @returns whether the watcher was made for exactly this configuration
    bool hasConfiguration(const DatabaseConfig& otherDatabase, const ProfileConfig& otherProfile, const UpstreamId& otherUpstream) const;

    /// @returns how many terms are in reserve
    std::size_t getNumTerms() const { return this->reserve.getNumUsable(this->monitor.getHighestTerm()); }

private:
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
    /// Lets handlers that outlive this object find out that it is gone.
    std::shared_ptr<bool> lifetime;
};

} // namespace lentiljunction
