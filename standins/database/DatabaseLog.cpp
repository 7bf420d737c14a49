#include "DatabaseLog.h"

#include <algorithm>
#include <chrono>

namespace lentiljunction::standins {

namespace {

    constexpr std::size_t maximumBatchEntries = 500;

} // namespace

DatabaseLog::DatabaseLog(Applier& applier)
    : applier(applier)
{
}

void DatabaseLog::bootstrap(Term term)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->fencedTerm = term;
    this->isPrimary = true;
    this->append({ term, {} });
}

UpstreamStatus DatabaseLog::getStatus()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->makeStatus();
}

UpstreamStatus DatabaseLog::fence(Term term)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (term > this->fencedTerm) {
        this->fencedTerm = term;
        this->isPrimary = false;
    }
    return this->makeStatus();
}

UpstreamStatus DatabaseLog::promote(Term term)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (term == this->fencedTerm && !this->isPrimary) {
        this->isPrimary = true;
        this->append({ term, {} });
    }
    return this->makeStatus();
}

void DatabaseLog::setLeaving(bool leaving)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->isLeaving = leaving;
}

ReplicationReply DatabaseLog::receive(const ReplicationBatch& batch)
{
    if (batch.entries.empty())
        return this->receiveLocked(batch);

    this->applier.lockForApply();
    ReplicationReply reply = this->receiveLocked(batch);
    this->applier.unlockAfterApply();
    return reply;
}

ReplicationReply DatabaseLog::receiveLocked(const ReplicationBatch& batch)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    bool isOwnTerm = this->isPrimary && batch.term == this->fencedTerm;
    if (batch.term < this->fencedTerm || isOwnTerm)
        return { false, this->fencedTerm, Position() };

    this->fencedTerm = batch.term;
    this->isPrimary = false;
    std::uint64_t previous = batch.previous.position.value();
    bool isPreviousKnown = previous <= this->entries.size() && this->getTermAt(previous) == batch.previous.term;
    if (!isPreviousKnown)
        return { true, this->fencedTerm, Position(std::min<std::uint64_t>(previous == 0 ? 0 : previous - 1, this->entries.size())) };

    for (std::size_t index = 0; index < batch.entries.size(); index++) {
        std::uint64_t position = previous + index + 1;
        if (position <= this->entries.size()) {
            if (this->getTermAt(position) == batch.entries[index].term)
                continue;
            this->truncate(static_cast<std::size_t>(position - 1));
        }
        this->applier.apply(batch.entries[index]);
        this->append(batch.entries[index]);
    }
    return { true, this->fencedTerm, Position(previous + batch.entries.size()) };
}

std::optional<ReplicationBatch> DatabaseLog::getBatch(Position after, std::chrono::milliseconds limit)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    if (limit.count() > 0)
        this->appended.wait_for(lock, limit, [&] { return this->isPrimary && this->entries.size() > after.value(); });
    if (!this->isPrimary)
        return std::nullopt;

    std::size_t begin = std::min<std::size_t>(after.value(), this->entries.size());
    std::size_t end = std::min(this->entries.size(), begin + maximumBatchEntries);
    ReplicationBatch batch;
    batch.term = this->fencedTerm;
    batch.previous = { this->getTermAt(begin), Position(begin) };
    batch.entries.assign(this->entries.begin() + static_cast<std::ptrdiff_t>(begin), this->entries.begin() + static_cast<std::ptrdiff_t>(end));
    return batch;
}

void DatabaseLog::append(LogEntry entry)
{
    bool isNewTerm = this->entries.empty() || this->entries.back().term != entry.term;
    if (isNewTerm)
        this->history.append({ entry.term, Position(this->entries.size() + 1) });
    this->entries.push_back(std::move(entry));
    this->appended.notify_all();
}

void DatabaseLog::truncate(std::size_t numKept)
{
    this->entries.resize(numKept);
    this->history = TermHistory();
    for (std::size_t index = 0; index < this->entries.size(); index++) {
        bool isNewTerm = index == 0 || this->entries[index - 1].term != this->entries[index].term;
        if (isNewTerm)
            this->history.append({ this->entries[index].term, Position(index + 1) });
    }
    this->applier.rebuild(this->entries);
}

UpstreamStatus DatabaseLog::makeStatus() const
{
    UpstreamStatus status;
    status.isPrimary = this->isPrimary;
    status.fencedTerm = this->fencedTerm;
    status.head = { this->getTermAt(this->entries.size()), Position(this->entries.size()) };
    status.history = this->history;
    status.isLeaving = this->isLeaving;
    return status;
}

Term DatabaseLog::getTermAt(std::uint64_t position) const
{
    if (position == 0)
        return Term();
    return this->entries[static_cast<std::size_t>(position - 1)].term;
}

} // namespace lentiljunction::standins
