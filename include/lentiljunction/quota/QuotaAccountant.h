#pragma once

#include "lentiljunction/quota/QuotaLimit.h"
#include "lentiljunction/quota/QuotaMessage.h"

#include <array>
#include <map>
#include <set>
#include <vector>

namespace lentiljunction {

/// Decides on the operations of workspaces with the shares of the limits that instances delegate to it.
///
/// Each workspace has a token bucket. Its rate and its capacity are those parts of the limit that the live
/// delegations amount to, so all accountants together never admit more than the limit. A delegation is valid for
/// a fixed time from a moment, on the clock of this instance, that is not later than that at which it was sent.
/// It therefore never outlives the time after which its client delegates elsewhere, however late it arrives.
///
/// Decides without sockets and timers. Not thread-safe; the traffic thread owns it.
///
/// @see QuotaClient, docs/design/quota.md
class QuotaAccountant {
public:
    /// Sends messages to clients.
    class Transport {
    public:
        virtual ~Transport() = default;
        virtual void sendToClient(std::uint64_t link, const QuotaMessage& message) = 0;
    };

    /// @param epoch a number, not zero, that no earlier process of this instance used
    QuotaAccountant(const Clock& clock, const QuotaTolerance& tolerance, std::uint64_t epoch, Transport& transport);

    /// Sets the limits. The tokens of a workspace whose limit was lowered are reduced before its next operation.
    void setLimits(const std::vector<QuotaLimit>& limits);

    /// Handles a message of a client.
    void onMessage(std::uint64_t link, const QuotaMessage& message);

    void onLinkLost(std::uint64_t link);

    /// Tells all clients that their shares are free, and admits nothing more.
    void stop();

    /// @returns the number of live delegations
    std::size_t countDelegations() const;

    /// @returns the part of the limits of a partition that is delegated to this instance now
    double getShare(std::size_t partition);

private:
    struct Delegation {
        BootTime end;
        /// The part of the limits that the client owns.
        double share = 0;
        /// When the client last caused initial tokens, on the clock of this instance.
        std::optional<BootTime> creditedAt;
    };

    struct Bucket {
        double ratePerSecond = 0;
        double burst = 0;
        double tokens = 0;
        /// Operations that were refused and told to return; later ones are told a later time.
        double numReturning = 0;
    };

    struct Partition {
        std::map<InstanceId, Delegation> delegations;
        std::map<WorkspaceId, Bucket> buckets;
        /// The sum of the live delegations' shares.
        double share = 0;
        BootTime settledAt;
    };

    void onHeartbeat(std::uint64_t link, const QuotaMessage& message);
    void delegate(Partition& partition, const InstanceId& client, BootTime sentAt, double share, bool isCredited);
    void onRequest(std::uint64_t link, const QuotaMessage& message);
    void settle(Partition& partition);
    void accrue(Partition& partition, BootTime until);
    void updateShare(Partition& partition);
    double getCapacity(const Bucket& bucket, double share) const;

    const Clock& clock;
    const QuotaTolerance tolerance;
    const std::uint64_t epoch;
    Transport& transport;
    std::array<Partition, numQuotaPartitions> partitions;
    /// The greatest number of a request on each link, so that a repeated request takes one token.
    std::map<std::uint64_t, std::uint64_t> links;
    bool isStopping = false;
};

} // namespace lentiljunction
