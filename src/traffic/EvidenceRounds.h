#pragma once

#include "../net/OneShotTimer.h"
#include "TrafficState.h"
#include "lentiljunction/interactive/LeadStatus.h"

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
/// @see isPrimaryVerified
class EvidenceRounds : public EvidenceSource {
public:
    EvidenceRounds(const SessionProtocol& protocol, TrafficState& state);

    void prove(const GroupId& group, const PrimaryTenure& leader, std::function<void(bool isProved)> callback) override;

private:
    struct Round {
        PrimaryTenure leader;
        std::vector<std::function<void(bool)>> askers;
        std::map<UpstreamId, std::optional<LeadStatus>> answers;
        std::size_t numAwaited = 0;
        TimePoint deadline;
        bool isOver = false;
    };

    struct KnownPrimary {
        std::uint64_t generation = 0;
        LeadStatus status;
    };

    struct GroupRounds {
        std::shared_ptr<Round> current;
        std::shared_ptr<Round> next;
        int numFailuresInARow = 0;
    };

    void start(const GroupId& group);
    void ask(const GroupId& group, const std::shared_ptr<Round>& round, const UpstreamId& upstream);
    void onAnswer(const GroupId& group, const std::shared_ptr<Round>& round, const UpstreamId& upstream, std::optional<LeadStatus> status);
    void finish(const GroupId& group, const std::shared_ptr<Round>& round);
    void expire();
    bool judge(const Round& round);
    std::optional<LeadStatus> findPrimaryStatus(const PrimaryTenure& leader) const;

    const SessionProtocol& protocol;
    TrafficState& state;
    std::map<GroupId, GroupRounds> groups;
    /// What a primary last said of itself, which stays true as long as it leads.
    std::map<UpstreamId, KnownPrimary> primaries;
    OneShotTimer timer;
};

} // namespace lentiljunction
