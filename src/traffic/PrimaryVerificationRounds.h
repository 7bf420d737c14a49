#pragma once

#include "../net/OneShotTimer.h"
#include "TrafficState.h"
#include "lentiljunction/interactive/ReplicationStatus.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace lentiljunction {

/// Verifies with the upstreams of a group that its primary has not been replaced, while the store is unavailable.
///
/// One round at a time for each group queries the status of all its upstreams. A verification that is
/// requested during a round waits for the next round, because the queries must be sent after the primary's
/// reply that they verify. A round for a primary that the record no longer names ends unverified at once.
///
/// The status of the primary itself is remembered while its process and its tenure are the same, so that a busy primary
/// need not respond to each round. The others, all queried after the reply, show each term beyond the remembered one.
///
/// Not thread-safe; the traffic thread owns it.
///
/// @see isPrimaryVerified
class PrimaryVerificationRounds : public PrimaryVerifier {
public:
    PrimaryVerificationRounds(const SessionProtocol& protocol, TrafficState& state);

    void verify(const GroupId& group, const PrimaryTenure& primary, std::function<void(bool isVerified)> callback) override;

    /// @returns the number of finished rounds since the start, by group
    const std::map<GroupId, GatewayMetrics::Verifications>& getNumFinished() const { return this->numFinished; }

private:
    /// Status queries to the upstreams of a group, and the verifications that wait for their responses.
    struct Round {
        PrimaryTenure primary;
        std::vector<std::function<void(bool)>> waiters;
        std::map<UpstreamId, std::optional<ReplicationStatus>> responses;
        /// Queries without a response.
        std::size_t numAwaited = 0;
        TimePoint deadline;
        bool isFinished = false;
    };

    /// The status of a primary when it was verified.
    struct KnownPrimary {
        std::uint64_t generation = 0;
        std::optional<WallTime> startedAt;
        ReplicationStatus status;
    };

    struct GroupRounds {
        std::shared_ptr<Round> current;
        std::shared_ptr<Round> next;
        int numConsecutiveFailures = 0;
    };

    void start(const GroupId& group);
    void requestStatus(const GroupId& group, const std::shared_ptr<Round>& round, const UpstreamId& upstream);
    void onResponse(const GroupId& group, const std::shared_ptr<Round>& round, const UpstreamId& upstream, std::optional<ReplicationStatus> status);
    void finish(const GroupId& group, const std::shared_ptr<Round>& round);
    void finishExpired();
    /// Ends a round whose primary was replaced in the record.
    void abandon(const std::shared_ptr<Round>& round);
    bool evaluate(const GroupId& group, const Round& round);
    /// @returns the term that the primary led when this was last learnt, or nothing
    std::optional<Term> findKnownTerm(const GroupId& group, const PrimaryTenure& primary) const;
    /// Logs another upstream that is the primary in a newer term.
    void logNewerTerm(const GroupId& group, const Round& round, const UpstreamId& upstream, const ReplicationStatus& status, const std::optional<ReplicationStatus>& primaryStatus);
    std::optional<ReplicationStatus> findPrimaryStatus(const PrimaryTenure& primary) const;

    const SessionProtocol& protocol;
    TrafficState& state;
    std::map<GroupId, GroupRounds> groups;
    /// The last status of primaries that no other upstream contradicted.
    std::map<UpstreamId, KnownPrimary> primaries;
    std::map<GroupId, GatewayMetrics::Verifications> numFinished;
    /// The newest term in which an upstream was logged as an unexpected primary.
    std::map<UpstreamId, Term> loggedTerms;
    OneShotTimer timer;
};

} // namespace lentiljunction
