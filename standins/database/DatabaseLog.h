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

/// A batch that a primary sends to a replica.
struct ReplicationBatch {
    Term term;
    LogPoint previous;
    std::vector<LogEntry> entries;
};

/// What a replica says to a batch.
struct ReplicationReply {
    bool isAccepted = false;
    Term fencedTerm;
    /// The last position that the sender may take for common; it sends from the next.
    Position matched;
};

/// The log, the role and the fenced term of one member of a group.
///
/// Everything that decides whether an entry is taken happens under one lock, so that a fence is
/// either before or after it. Safe to call from any thread.
class DatabaseLog {
public:
    /// Takes effect in the data.
    ///
    /// The data's lock is always taken before the log's.
    class Applier {
    public:
        virtual ~Applier() = default;

        /// Takes the data's lock, waiting for a transaction that holds it.
        virtual void lockForApply() = 0;

        /// Gives the data's lock back.
        virtual void unlockAfterApply() = 0;

        /// Applies an entry that was received.
        virtual void apply(const LogEntry& entry) = 0;

        /// Makes the data anew from these entries, after some were dropped.
        virtual void rebuild(const std::vector<LogEntry>& entries) = 0;
    };

    /// @param applier applies received entries; must outlive this object
    explicit DatabaseLog(Applier& applier);

    /// Makes this member the primary of the first term.
    void bootstrap(Term term);

    /// @returns the state at one instant
    UpstreamStatus getStatus();

    /// Promises to take nothing of a lower term; only above the fenced term.
    UpstreamStatus fence(Term term);

    /// Becomes the primary of a term, if that very term is the fenced one.
    UpstreamStatus promote(Term term);

    /// Sets whether this member reports that it leaves.
    void setLeaving(bool leaving);

    /// Commits a transaction.
    ///
    /// @param statements its writes
    /// @param commitData commits them in the data; called only when the member is primary
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

    /// Takes a batch of a primary.
    ReplicationReply receive(const ReplicationBatch& batch);

    /// Waits for entries to send.
    ///
    /// @param after the last position that the receiver has
    /// @returns the batch, possibly empty after the time limit; nothing when not primary
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
