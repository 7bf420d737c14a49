#pragma once

#include "lentiljunction/bundle/Bundle.h"
#include "lentiljunction/confirmation/ConfirmationTracker.h"
#include "lentiljunction/confirmation/FreshnessHistory.h"
#include "lentiljunction/peer/PeerMessage.h"
#include "lentiljunction/session/UpstreamStatus.h"

#include <functional>
#include <map>
#include <optional>

namespace lentiljunction {

/// The state of one database group as known on the traffic thread of a gate.
///
/// Updated with every status that arrives, from probes and from the batches of requests.
class GroupState {
public:
    /// @param verdict whether the write is durable, lost or still undecided at its deadline
    using ConfirmHandler = std::function<void(ConfirmationTracker::Verdict verdict)>;

    /// @param database the group
    explicit GroupState(const DatabaseConfig& database);

    /// Applies the group's configuration from a newer bundle.
    void setDatabase(const DatabaseConfig& database);

    /// Processes the status of an upstream.
    ///
    /// @param upstream the upstream that reported the status
    /// @param status the reported status
    /// @param requestedAt when the status was requested
    void onStatus(const UpstreamId& upstream, const UpstreamStatus& status, TimePoint requestedAt);

    /// Processes the status that was read after a commit, in the same batch as the commit.
    ///
    /// It proves that the upstream was still the primary after the commit. It does not cover commits
    /// that were acknowledged after it was read, so it is not used for the age of data.
    ///
    /// @param upstream the upstream that ran the commit
    /// @param status the status read after the commit
    /// @param committedAt when the response to the commit arrived
    void onCommitStatus(const UpstreamId& upstream, const UpstreamStatus& status, TimePoint committedAt);

    /// Waits until a write is durable.
    ///
    /// @param point the log entry of the write
    /// @param committedAt when the response to the commit arrived
    /// @param deadline when to stop waiting
    /// @param handler called once, from resolve()
    void confirm(LogPoint point, TimePoint committedAt, TimePoint deadline, ConfirmHandler handler);

    /// Calls the handlers of the writes whose verdict is known.
    void resolve(TimePoint now);

    /// Sets whether the primary answers probes, as determined on the control thread.
    void setPrimaryReachable(bool isReachable) { this->primaryReachable = isReachable; }

    /// @returns the primary of the highest term seen, or nothing before the first
    std::optional<PrimaryHint> getPrimary() const;

    /// @returns whether the primary answers probes; true until setPrimaryReachable() is called
    bool isPrimaryReachable() const { return this->primaryReachable; }

    /// @returns whether an entry is known to be durable
    bool isDurable(LogPoint point) const { return this->tracker.isDurable(point); }

    /// @returns an upper bound for the age of the data that a status describes, or nothing
    std::optional<Duration> getAge(const UpstreamStatus& status, TimePoint now) const { return this->ages.getAge(status, now); }

    /// @returns the newest status of an upstream, or nullptr
    const UpstreamStatus* findStatus(const UpstreamId& upstream) const;

    /// @returns whether writes wait for their confirmation
    bool hasWaitingWrites() const { return !this->tracker.isEmpty(); }

private:
    ConfirmationTracker tracker;
    FreshnessHistory ages;
    std::map<UpstreamId, UpstreamStatus> statuses;
    std::map<ConfirmationTracker::Ticket, ConfirmHandler> handlers;
    ConfirmationTracker::Ticket nextTicket = 1;
    bool primaryReachable = true;
};

} // namespace lentiljunction
