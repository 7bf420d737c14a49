#pragma once

#include "lentiljunction/quota/LocalAdmissions.h"
#include "lentiljunction/quota/QuotaCoordinator.h"
#include "lentiljunction/quota/QuotaCounts.h"
#include "lentiljunction/quota/QuotaMessage.h"
#include "lentiljunction/quota/QuotaPlan.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace lentiljunction {

/// Requests the admission of operations from a coordinator of this availability zone, and delegates this
/// instance's share of the limits to it.
///
/// The share of a partition is delegated to one coordinator at a time. When the coordinator fails, the share is
/// delegated to the next in order once the last delegation to the former one has certainly expired there.
///
/// Decides without sockets and timers. Not thread-safe; the traffic thread owns it. Callbacks may run before the
/// call that causes them returns.
///
/// @see QuotaAccountant, docs/design/quota.md
class QuotaClient {
public:
    /// Sends messages to accountants, also to that of this instance. Answers arrive after the call has returned.
    class Transport {
    public:
        virtual ~Transport() = default;
        virtual void sendToCoordinator(const FleetMember& coordinator, const QuotaMessage& message) = 0;

        /// Drops the link to a coordinator that does not respond; the next message opens another one. A connection
        /// that was cut resumes much later than a new one is opened.
        virtual void dropLink(const InstanceId& coordinator) = 0;
    };

    using Callback = std::function<void(const QuotaDecision& decision)>;

    QuotaClient(const Clock& clock, const QuotaTolerance& tolerance, const InstanceId& self, Transport& transport);

    /// Sets the limits; a workspace that is not listed has none.
    void setLimits(const std::vector<QuotaLimit>& limits);

    /// @param numInstances the number of registered instances, also of inactive ones: they may still use their shares
    void setPlan(const QuotaPlan& plan, std::size_t numInstances);

    /// Requests the admission of one operation.
    ///
    /// @returns the number of the request, or zero when the callback was already called
    std::uint64_t admit(const WorkspaceId& workspace, Callback callback);

    /// Cancels a request; its callback is not called.
    void cancel(std::uint64_t request);

    /// Reports that an admitted operation certainly did not run. The next operation of the workspace may use its
    /// admission.
    void giveBack(const WorkspaceId& workspace);

    /// Handles a message of a coordinator.
    void onMessage(const InstanceId& coordinator, const QuotaMessage& message);

    void onLinkLost(const InstanceId& coordinator);

    /// Sends heartbeats, and handles requests and coordinators without an answer. Call this every 50 ms.
    void tick();

    QuotaCounts getCounts() const;

    /// @returns whether this instance has delegated its share of all partitions to coordinators that responded
    bool hasDelegatedAll() const;

private:
    struct Partition {
        std::optional<InstanceId> current;
        /// A heartbeat that delegates the partition was sent to the current coordinator.
        bool isDelegated = false;
        /// The share moves to a coordinator that comes earlier in the order, when the present delegation has expired.
        bool isLeaving = false;
        /// No delegation that was sent is valid after this.
        BootTime delegatedUntil;
        BootTime nextMoveAt;
        BootTime nextCreditAt;
        /// Requests that wait for a coordinator, in order of arrival.
        std::deque<std::uint64_t> unsent;
    };

    struct Request {
        WorkspaceId workspace;
        /// Empty when the request was cancelled.
        Callback callback;
        BootTime deadline;
        std::optional<InstanceId> coordinator;
        /// The number of the message that was sent last.
        std::uint64_t message = 0;
        BootTime sentAt;
    };

    bool mayDelegate() const;
    QuotaCoordinator& getCoordinator(const FleetMember& member);
    QuotaCoordinator* findAvailable(const InstanceId& id);
    const FleetMember* chooseCoordinator(std::size_t partition);
    void detectSilence(BootTime now);
    void setUnavailable(QuotaCoordinator& coordinator, const char* reason);
    void updatePartition(std::size_t index, BootTime now);
    void moveTo(std::size_t index, const FleetMember& member, BootTime now);
    void sendHeartbeats(BootTime now);
    void sendHeartbeat(QuotaCoordinator& coordinator, BootTime now);
    void addDelegations(QuotaMessage& message, const QuotaCoordinator& coordinator, BootTime now);
    std::set<InstanceId> listWanted();
    void sendUnsent(std::size_t index, BootTime now);
    void send(QuotaCoordinator& coordinator, const QuotaMessage& message, BootTime now);
    void recallRequests(const InstanceId& coordinator);
    void expireRequests(BootTime now);
    void onAlive(QuotaCoordinator& coordinator, const QuotaMessage& message);
    void onStopping(QuotaCoordinator& coordinator, const QuotaMessage& message);
    void onDecision(const InstanceId& coordinator, const QuotaMessage& message);
    void decide(std::uint64_t number, const QuotaDecision& decision);

    const Clock& clock;
    const InstanceId self;
    Transport& transport;
    const BootTime startedAt;
    /// A grant that is older than this is not used.
    const BootClock::duration maximumGrantAge;
    /// Between two voluntary changes of a coordinator, and between two messages that cause initial tokens.
    const BootClock::duration moveInterval;
    QuotaPlan plan;
    std::size_t numInstances = 0;
    std::map<WorkspaceId, QuotaLimit> limits;
    std::map<InstanceId, QuotaCoordinator> coordinators;
    std::array<Partition, numQuotaPartitions> partitions;
    std::map<std::uint64_t, Request> requests;
    /// The requests by the number of the message that was sent last. Each message has its own number, so a late
    /// answer of a former coordinator is not taken for that of the present one.
    std::map<std::uint64_t, std::uint64_t> sentRequests;
    LocalAdmissions localAdmissions;
    BootTime lastTick;
    std::uint64_t nextNumber = 1;
    QuotaCounts counts;
};

} // namespace lentiljunction
