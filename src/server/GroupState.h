#pragma once

#include "lentiljunction/bundle/Bundle.h"
#include "lentiljunction/confirmation/AgeHistory.h"
#include "lentiljunction/confirmation/ConfirmationTracker.h"
#include "lentiljunction/peer/PeerMessage.h"
#include "lentiljunction/session/UpstreamStatus.h"

#include <functional>
#include <map>
#include <optional>

namespace lentiljunction {

/// What the traffic thread of a gate knows about one database group.
///
/// Fed with every status that arrives, from probes and from the batches of requests.
class GroupState {
public:
    /// @param verdict what became of the write
    using ConfirmHandler = std::function<void(ConfirmationTracker::Verdict verdict)>;

    /// @param database the group
    explicit GroupState(const DatabaseConfig& database);

    /// Takes the group's configuration from a newer bundle.
    void setDatabase(const DatabaseConfig& database);

    /// @param upstream who reported
    /// @param status its report
    /// @param askedAt when the report was asked for
    void onStatus(const UpstreamId& upstream, const UpstreamStatus& status, TimePoint requestedAt);

    /// Takes the status that was read after a commit, in the commit's own batch.
    ///
    /// It proves that the upstream still was the primary after the commit, but says nothing about
    /// what was acknowledged since it was read, so it plays no part in the age of data.
    ///
    /// @param committedAt when the answer of the commit arrived
    void onCommitStatus(const UpstreamId& upstream, const UpstreamStatus& status, TimePoint committedAt);

    /// Waits until a write is durable.
    ///
    /// @param point the entry
    /// @param handler called once, from resolve()
    void confirm(LogPoint point, TimePoint committedAt, TimePoint deadline, ConfirmHandler handler);

    /// Calls the handlers of the writes that are decided.
    void resolve(TimePoint now);

    /// Sets whether the primary answers probes, as the control thread judges.
    void setPrimaryReachable(bool isReachable) { this->primaryReachable = isReachable; }

    /// @returns the primary of the highest term seen, or nothing
    std::optional<PrimaryHint> getPrimary() const;

    /// @returns whether the primary answers probes; true until the first judgement
    bool isPrimaryReachable() const { return this->primaryReachable; }

    /// @returns whether an entry is known to be durable
    bool isDurable(LogPoint point) const { return this->tracker.isDurable(point); }

    /// @returns an upper bound for the age of the data that a status describes, or nothing
    std::optional<Duration> getAge(const UpstreamStatus& status, TimePoint now) const { return this->ages.getAge(status, now); }

    /// @returns the last status of an upstream, or nullptr
    const UpstreamStatus* findStatus(const UpstreamId& upstream) const;

    /// @returns whether writes wait for their confirmation
    bool hasWaitingWrites() const { return !this->tracker.isEmpty(); }

private:
    ConfirmationTracker tracker;
    AgeHistory ages;
    std::map<UpstreamId, UpstreamStatus> statuses;
    std::map<ConfirmationTracker::Ticket, ConfirmHandler> handlers;
    ConfirmationTracker::Ticket nextTicket = 1;
    bool primaryReachable = true;
};

} // namespace lentiljunction
