#include "SqlEngine.h"

#include "lentiljunction/execution/Statement.h"

#include <regex>
#include <sqlite3.h>
#include <thread>

namespace lentiljunction::standins {

namespace {

    constexpr std::chrono::milliseconds lockTimeout { 1000 };
    const std::regex controlPattern("\\s*SELECT \\* FROM lentiljunction_(status|fence|promote)\\(([0-9]*)\\)\\s*", std::regex::icase);
    const SqlError readOnlyError { "25006", "cannot execute a write in a read-only transaction" };

    StatementResult makeError(const SqlError& error)
    {
        StatementResult result;
        result.error = error;
        return result;
    }

    StatementResult makeTag(const std::string& tag)
    {
        StatementResult result;
        result.tag = tag;
        return result;
    }

    StatementResult makeStatusRow(const UpstreamStatus& status)
    {
        StatementResult result;
        result.rows.columns = { "role", "fenced_term", "head_term", "head_position", "term_history", "state" };
        result.rows.rows.push_back({ status.isPrimary ? "primary" : "replica", std::to_string(status.fencedTerm.value()), std::to_string(status.head.term.value()),
            std::to_string(status.head.position.value()), status.history.toString(), status.isLeaving ? "leaving" : "live" });
        result.tag = "SELECT 1";
        return result;
    }

    /// @returns the SQLSTATE that is closest to an SQLite error
    std::string toSqlState(int code, const std::string& message)
    {
        if (code == SQLITE_CONSTRAINT)
            return message.find("UNIQUE") != std::string::npos ? "23505" : "23000";
        if (message.find("no such table") != std::string::npos)
            return "42P01";
        return code == SQLITE_ERROR ? "42601" : "XX000";
    }

    ResultSet readRows(sqlite3_stmt* statement, int& code)
    {
        ResultSet rows;
        for (int column = 0; column < sqlite3_column_count(statement); column++)
            rows.columns.emplace_back(sqlite3_column_name(statement, column));
        for (code = sqlite3_step(statement); code == SQLITE_ROW; code = sqlite3_step(statement)) {
            std::vector<std::optional<std::string>> cells;
            for (int column = 0; column < sqlite3_column_count(statement); column++) {
                const unsigned char* text = sqlite3_column_text(statement, column);
                cells.push_back(text == nullptr ? std::optional<std::string>() : std::string(reinterpret_cast<const char*>(text)));
            }
            rows.rows.push_back(std::move(cells));
        }
        return rows;
    }

    std::string getKeyword(const std::string& sql)
    {
        std::size_t begin = sql.find_first_not_of(" \t\r\n");
        std::size_t end = begin == std::string::npos ? begin : sql.find_first_of(" \t\r\n(", begin);
        std::string word = begin == std::string::npos ? "" : sql.substr(begin, end == std::string::npos ? end : end - begin);
        for (char& character : word)
            character = static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
        return word;
    }

} // namespace

std::vector<std::string> splitBatch(const std::string& batch)
{
    std::vector<std::string> statements;
    std::string current;
    char quote = 0;
    for (char character : batch) {
        if (quote != 0 && character == quote)
            quote = 0;
        else if (quote == 0 && (character == '\'' || character == '"'))
            quote = character;
        if (character == ';' && quote == 0) {
            if (!getKeyword(current).empty())
                statements.push_back(current);
            current.clear();
            continue;
        }
        current.push_back(character);
    }
    if (!getKeyword(current).empty())
        statements.push_back(current);
    return statements;
}

SqlEngine::SqlEngine(int slots, std::chrono::microseconds serviceTime)
    : log(*this)
    , freeSlots(slots)
    , serviceTime(serviceTime)
{
    this->openDatabase();
}

SqlEngine::~SqlEngine()
{
    sqlite3_close(this->database);
}

StatementResult SqlEngine::execute(SessionState& session, const std::string& sql)
{
    std::string keyword = getKeyword(sql);
    if (keyword == "ROLLBACK")
        return this->rollBack(session);
    if (keyword == "COMMIT")
        return this->commit(session);
    if (session.isFailed)
        return makeError({ "25P02", "current transaction is aborted" });
    if (keyword == "BEGIN")
        return this->begin(session);

    std::optional<StatementResult> control = this->executeControl(session, sql);
    if (control)
        return *control;

    StatementResult result = this->executeData(session, sql);
    if (result.error && session.isInTransaction)
        session.isFailed = true;
    return result;
}

void SqlEngine::abandon(SessionState& session)
{
    this->rollBack(session);
}

bool SqlEngine::isDataLocked()
{
    std::lock_guard<std::mutex> lock(this->lockMutex);
    return this->isLocked;
}

void SqlEngine::lockForApply()
{
    std::unique_lock<std::mutex> lock(this->lockMutex);
    this->lockFree.wait(lock, [this] { return !this->isLocked; });
    this->isLocked = true;
}

void SqlEngine::unlockAfterApply()
{
    std::lock_guard<std::mutex> lock(this->lockMutex);
    this->isLocked = false;
    this->lockFree.notify_all();
}

void SqlEngine::apply(const LogEntry& entry)
{
    this->executeUnchecked("BEGIN");
    for (const std::string& statement : entry.statements)
        this->executeUnchecked(statement);
    this->executeUnchecked("COMMIT");
}

void SqlEngine::rebuild(const std::vector<LogEntry>& entries)
{
    sqlite3_close(this->database);
    this->openDatabase();
    for (const LogEntry& entry : entries)
        this->apply(entry);
}

std::optional<StatementResult> SqlEngine::executeControl(const SessionState& session, const std::string& sql)
{
    std::smatch match;
    if (!std::regex_match(sql, match, controlPattern))
        return std::nullopt;

    std::string operation = match[1];
    if (operation == "status")
        return makeStatusRow(this->log.getStatus());
    if (!session.isControlUser)
        return makeError({ "42501", "only the control user may fence and promote" });

    Term term(std::strtoull(match[2].str().c_str(), nullptr, 10));
    return makeStatusRow(operation == "fence" ? this->log.fence(term) : this->log.promote(term));
}

StatementResult SqlEngine::begin(SessionState& session)
{
    session.isInTransaction = true;
    return makeTag("BEGIN");
}

StatementResult SqlEngine::commit(SessionState& session)
{
    if (session.isFailed || session.writes.empty()) {
        bool wasFailed = session.isFailed;
        this->rollBack(session);
        return makeTag(wasFailed ? "ROLLBACK" : "COMMIT");
    }

    bool isCommitted = this->log.commit(session.writes, [this] { this->executeUnchecked("COMMIT"); });
    if (!isCommitted) {
        this->rollBack(session);
        return makeError(readOnlyError);
    }
    this->unlockData(session);
    session = SessionState { false, false, false, session.isControlUser, {} };
    return makeTag("COMMIT");
}

StatementResult SqlEngine::rollBack(SessionState& session)
{
    if (session.holdsLock) {
        this->executeUnchecked("ROLLBACK");
        this->unlockData(session);
    }
    session = SessionState { false, false, false, session.isControlUser, {} };
    return makeTag("ROLLBACK");
}

StatementResult SqlEngine::executeData(SessionState& session, const std::string& sql)
{
    // A statement releases its slot before it waits for the lock, because waiting takes no processor time.
    this->acquireSlot();
    std::this_thread::sleep_for(this->serviceTime);
    this->releaseSlot();
    this->numExecuted++;
    bool isLockTaken = session.holdsLock || this->lockData(session);
    if (!isLockTaken)
        return makeError({ "55P03", "the lock was not free in time" });

    bool isWrite = false;
    StatementResult result = this->run(sql, isWrite);
    if (!result.error && isWrite)
        session.writes.push_back(sql);
    if (!session.isInTransaction) {
        StatementResult end = result.error ? this->rollBack(session) : this->commit(session);
        if (end.error)
            result = end;
    }
    return result;
}

StatementResult SqlEngine::run(const std::string& sql, bool& isWrite)
{
    sqlite3_stmt* statement = nullptr;
    int code = sqlite3_prepare_v2(this->database, sql.c_str(), -1, &statement, nullptr);
    if (code != SQLITE_OK) {
        std::string message = sqlite3_errmsg(this->database);
        return makeError({ toSqlState(code, message), message });
    }

    isWrite = sqlite3_stmt_readonly(statement) == 0;
    if (isWrite && !this->log.getStatus().isPrimary) {
        sqlite3_finalize(statement);
        return makeError(readOnlyError);
    }

    StatementResult result;
    result.rows = readRows(statement, code);
    std::string message = sqlite3_errmsg(this->database);
    sqlite3_finalize(statement);
    if (code != SQLITE_DONE)
        return makeError({ toSqlState(code & 0xff, message), message });

    std::string keyword = getKeyword(sql);
    std::string count = std::to_string(isWrite ? sqlite3_changes(this->database) : static_cast<int>(result.rows.rows.size()));
    result.tag = keyword == "INSERT" ? "INSERT 0 " + count : keyword + " " + count;
    return result;
}

void SqlEngine::executeUnchecked(const std::string& sql)
{
    sqlite3_exec(this->database, sql.c_str(), nullptr, nullptr, nullptr);
}

bool SqlEngine::lockData(SessionState& session)
{
    std::unique_lock<std::mutex> lock(this->lockMutex);
    if (!this->lockFree.wait_for(lock, lockTimeout, [this] { return !this->isLocked; }))
        return false;
    this->isLocked = true;
    session.holdsLock = true;
    lock.unlock();
    this->executeUnchecked("BEGIN");
    return true;
}

void SqlEngine::unlockData(SessionState& session)
{
    std::lock_guard<std::mutex> lock(this->lockMutex);
    this->isLocked = false;
    session.holdsLock = false;
    this->lockFree.notify_all();
}

void SqlEngine::openDatabase()
{
    sqlite3_open(":memory:", &this->database);
}

void SqlEngine::acquireSlot()
{
    std::unique_lock<std::mutex> lock(this->slotMutex);
    this->slotFree.wait(lock, [this] { return this->freeSlots > 0; });
    this->freeSlots--;
}

void SqlEngine::releaseSlot()
{
    std::lock_guard<std::mutex> lock(this->slotMutex);
    this->freeSlots++;
    this->slotFree.notify_one();
}

} // namespace lentiljunction::standins
