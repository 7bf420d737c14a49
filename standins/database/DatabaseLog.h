#pragma once

#include "lentiljunction/session/UpstreamStatus.h"

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction::standins {

/// One committed transaction.
struct LogEntry {
    Term term;
    std::vector<std::string> statements;
};

/// A batch of log entries that a primary sends to a replica.
struct ReplicationBatch {
    Term term;
    LogPoint previous;
    std::vector<LogEntry> entries;
};

/// A replica's response to a batch.
struct ReplicationReply {
    bool isAccepted = false;
    Term fencedTerm;
    /// The last position that both logs may share; the sender continues with the next one.
    Position matched;
};

/// The log, the role and the fenced term of one member of a group.
///
/// Entries are accepted and fences are set under one lock, so that each entry is either before or after a
/// fence. Safe to call from any thread.
class DatabaseLog {
public:
    /// Applies received entries to the data.
    ///
    /// Lock order: the data's lock before the log's lock.
    class Applier {
    public:
        virtual ~Applier() = default;

        /// Acquires the data's lock. Waits for a transaction that holds it.
        virtual void lockForApply() = 0;

        /// Releases the data's lock.
        virtual void unlockAfterApply() = 0;

        /// Applies a received entry.
        virtual void apply(const LogEntry& entry) = 0;

        /// Rebuilds the data from the remaining entries, after others were truncated.
        virtual void rebuild(const std::vector<LogEntry>& entries) = 0;
    };

    /// @param applier applies received entries; must outlive this object
    explicit DatabaseLog(Applier& applier);

    /// Makes this member the primary of the first term.
    void bootstrap(Term term);

    /// @returns a consistent snapshot of the status
    UpstreamStatus getStatus();

    /// Fences the member: from now on it rejects entries of lower terms and is no primary. Has no effect
    /// unless the term is above the fenced term.
    UpstreamStatus fence(Term term);

    /// Makes this member the primary of a term, if the term equals the fenced term.
    UpstreamStatus promote(Term term);

    /// Sets whether this member reports that it is leaving.
    void setLeaving(bool leaving);

    /// Commits a transaction.
    ///
    /// @param statements the transaction's writes
    /// @param commitData commits the writes in the data; called only when the member is primary
    /// @returns whether the member is primary and the entry was appended
    template <typename CommitData>
    bool commit(std::vector<std::string> statements, CommitData commitData)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->isPrimary)
            return false;
        commitData();
        this->append({ this->fencedTerm, std::move(statements) });
        return true;
    }

    /// Receives a batch from a primary.
    ReplicationReply receive(const ReplicationBatch& batch);

    /// Waits for entries to replicate.
    ///
    /// @param after the last position that the receiver has
    /// @param limit how long to wait at most
    /// @returns the batch, possibly empty after the time limit, or nothing when the member is not primary
    std::optional<ReplicationBatch> getBatch(Position after, std::chrono::milliseconds limit);

private:
    ReplicationReply receiveLocked(const ReplicationBatch& batch);
    void append(LogEntry entry);
    void truncate(std::size_t numKept);
    UpstreamStatus makeStatus() const;
    Term getTermAt(std::uint64_t position) const;

    Applier& applier;
    std::mutex mutex;
    std::condition_variable appended;
    std::vector<LogEntry> entries;
    TermHistory history;
    Term fencedTerm;
    bool isPrimary = false;
    bool isLeaving = false;
};

} // namespace lentiljunction::standins
