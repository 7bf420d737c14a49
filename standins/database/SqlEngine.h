#pragma once

#include "DatabaseLog.h"
#include "lentiljunction/execution/SqlConnection.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

struct sqlite3;

namespace lentiljunction::standins {

/// The result of one statement: rows with a command tag, or an error.
struct StatementResult {
    ResultSet rows;
    std::string tag;
    std::optional<SqlError> error;
};

/// The transaction state of one connection.
struct SessionState {
    bool isInTransaction = false;
    bool isFailed = false;
    bool holdsLock = false;
    bool isControlUser = false;
    std::vector<std::string> writes;
};

/// Executes SQL in an in-memory SQLite database. One lock serializes the transactions.
///
/// Safe to call from any thread, with one SessionState per connection.
class SqlEngine : private DatabaseLog::Applier {
public:
    /// @param slots how many statements are executed at the same time
    /// @param serviceTime how long a statement holds its slot
    SqlEngine(int slots, std::chrono::microseconds serviceTime);
    ~SqlEngine() override;
    SqlEngine(const SqlEngine&) = delete;
    SqlEngine& operator=(const SqlEngine&) = delete;

    /// Executes one statement.
    StatementResult execute(SessionState& session, const std::string& sql);

    /// Rolls back the open transaction of a session.
    void abandon(SessionState& session);

    /// @returns the member's log
    DatabaseLog& getLog() { return this->log; }

    /// @returns whether a transaction holds the data's lock
    bool isDataLocked();

    /// @returns the number of executed statements, without control statements
    std::uint64_t getNumExecuted() const { return this->numExecuted; }

private:
    void lockForApply() override;
    void unlockAfterApply() override;
    void apply(const LogEntry& entry) override;
    void rebuild(const std::vector<LogEntry>& entries) override;

    std::optional<StatementResult> executeControl(const SessionState& session, const std::string& sql);
    StatementResult begin(SessionState& session);
    StatementResult commit(SessionState& session);
    StatementResult rollBack(SessionState& session);
    StatementResult executeData(SessionState& session, const std::string& sql);
    StatementResult run(const std::string& sql, bool& isWrite);
    void executeUnchecked(const std::string& sql);
    bool lockData(SessionState& session);
    void unlockData(SessionState& session);
    void openDatabase();
    void acquireSlot();
    void releaseSlot();

    DatabaseLog log;
    sqlite3* database = nullptr;
    std::mutex lockMutex;
    std::condition_variable lockFree;
    bool isLocked = false;
    int freeSlots;
    std::chrono::microseconds serviceTime;
    std::mutex slotMutex;
    std::condition_variable slotFree;
    std::atomic<std::uint64_t> numExecuted { 0 };
};

/// @returns the non-empty statements of a batch
std::vector<std::string> splitBatch(const std::string& batch);

} // namespace lentiljunction::standins
