#pragma once

#include "../net/OneShotTimer.h"
#include "TrafficState.h"
#include "lentiljunction/interactive/ReplicationStatus.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace lentiljunction {

/// Proves by the upstreams themselves that a primary has not been replaced, while the store is away.
///
/// One round for each group at a time asks all its upstreams for their status. Whoever wants a proof
/// while a round is under way gets the next one, because the questions must be younger than the
/// answer that is to be proved.
///
/// Belongs to the traffic thread.
///
/// @see isLeadProved
class PrimaryVerificationRounds : public PrimaryVerifier {
public:
    PrimaryVerificationRounds(const SessionProtocol& protocol, TrafficState& state);

    void verify(const GroupId& group, const Leader& primary, std::function<void(bool isVerified)> callback) override;

private:
    struct Round {
        Leader primary;
        std::vector<std::function<void(bool)>> waiters;
        std::map<UpstreamId, std::optional<ReplicationStatus>> answers;
        std::size_t numAwaited = 0;
        TimePoint deadline;
        bool isFinished = false;
    };

    struct KnownPrimary {
        std::uint64_t generation = 0;
        ReplicationStatus status;
    };

    struct GroupRounds {
        std::shared_ptr<Round> current;
        std::shared_ptr<Round> next;
        int numConsecutiveFailures = 0;
    };

    void start(const GroupId& group);
    void requestStatus(const GroupId& group, const std::shared_ptr<Round>& round, const UpstreamId& upstream);
    void onAnswer(const GroupId& group, const std::shared_ptr<Round>& round, const UpstreamId& upstream, std::optional<ReplicationStatus> status);
    void finish(const GroupId& group, const std::shared_ptr<Round>& round);
    void finishExpired();
    bool evaluate(const Round& round);
    std::optional<ReplicationStatus> findPrimaryStatus(const Leader& primary) const;

    const SessionProtocol& protocol;
    TrafficState& state;
    std::map<GroupId, GroupRounds> groups;
    /// What a primary last said of itself, which stays true as long as it leads.
    std::map<UpstreamId, KnownPrimary> primaries;
    OneShotTimer timer;
};

} // namespace lentiljunction
