#pragma once

#include "../net/TcpConnection.h"
#include "OperationAdmission.h"
#include "SessionKey.h"
#include "StatementRun.h"
#include "lentiljunction/interactive/SessionContext.h"
#include "lentiljunction/interactive/SessionProtocol.h"

#include <functional>
#include <memory>
#include <optional>

namespace lentiljunction {

/// The session of one caller: a connection with session values, prepared statements and transactions.
///
/// Statements that need no upstream are answered locally. BEGIN is answered immediately, while the session
/// tries to begin the transaction on an upstream; otherwise the first statement does so.
///
/// Not thread-safe; the traffic thread owns it.
class CallerSession : private TcpConnection::Listener {
public:
    /// Receives the events of a session.
    class Listener {
    public:
        virtual ~Listener() = default;

        /// The session has ended; the listener destroys it later.
        virtual void onSessionEnded(CallerSession& session) = 0;

        /// A statement that was sent to the upstreams was answered.
        ///
        /// @param route the session's route, or nullptr
        virtual void onStatementAnswered(const Route* route, const StatementRequest& request, const StatementRun::Result& result) = 0;

        /// A startup or a statement was refused because of the caller's key.
        virtual void onKeyRefused(KeyVerdict verdict) = 0;

        /// A statement was refused without contacting an upstream.
        virtual void onRefusedLocally(FailureCause cause) = 0;

        /// The sessions hold more memory than they may.
        virtual void onMemoryExceeded() = 0;
    };

    CallerSession(TrafficState& state, const SessionProtocol& protocol, Listener& listener, std::unique_ptr<TcpConnection> socket);
    ~CallerSession() override;

    /// @returns the listener for the session's socket
    TcpConnection::Listener& getSocketListener() { return *this; }

    /// Retries a statement that waits for an upstream after the known state changed.
    void onKnownStateChanged();

    /// Closes the session as soon as no statement runs and no transaction is open.
    void closeWhenIdle();

    /// Closes the session after its next statement or transaction.
    void closeAfterNextStatement() { this->mustClose = true; }

    /// Tells the caller that its session is not opened, and closes it.
    void refuse(ReplyCode code, const std::string& reason);

    /// Updates the memory that the session holds.
    ///
    /// @returns the bytes
    std::size_t updateMemory();

    /// Closes the session to free its memory. Tells a caller that reads.
    void closeForMemory();

    /// Closes the session now and rolls back an open transaction.
    void closeNow();

    /// @returns whether a statement runs or a transaction is open
    bool isBusy() const { return this->isRunning() || this->transactionState != TransactionState::Idle; }

    /// @returns whether a statement runs or waits for its admission
    bool isRunning() const { return this->run != nullptr || this->admission.isWaiting(); }

private:
    void onSocketOpened() override { }
    void onSocketBytes(std::string& bytes) override;
    void onSocketClosed(const std::string& reason, bool isRefused) override;
    void onStartup(const SessionStartup& startup);
    bool refuseStartup(const SessionStartup& opened);
    void onStatement(SessionStatement statement);
    /// Refuses a statement if the caller's key is no longer accepted.
    ///
    /// @returns whether the statement was refused
    bool refuseInvalidKey(const SessionStatement& statement);
    void reportKeyRefused(KeyVerdict verdict);
    void onTransactionControl(const SessionStatement& statement);
    void onUpstreamStatement(SessionStatement statement);
    /// Starts an operation: a single statement, or the transaction of a BEGIN. Nothing of the operation was sent to an
    /// upstream before, and the caller has no reply yet.
    void beginOperation(SessionStatement statement, AccessMode mode, const std::shared_ptr<const SessionRoute>& route);
    void startOperation(SessionStatement statement, AccessMode mode, const std::shared_ptr<const SessionRoute>& route);
    void beginTransaction(const SessionStatement& begin, const std::shared_ptr<const SessionRoute>& route);
    StatementRequest makeRequest(SessionStatement statement, AccessMode mode, const std::shared_ptr<const SessionRoute>& route) const;
    void beginEarly(const SessionStatement& begin);
    void restartIdleTimer();
    /// Gives back a connection on which the transaction began before its upstream began to drain, as long as nothing ran on it.
    void leaveDrainingUpstream();
    void startRun(SessionStatement statement, AccessMode mode, const std::shared_ptr<const SessionRoute>& route);
    void onRunFinished(const StatementRequest& request, const StatementRun::Result& result);
    void reply(ReplyCode code, TransactionState newState, const std::string& message, FailureCause cause = FailureCause::NotAllowed);
    void send(const SessionReply& answer);
    void processBuffered();
    void processMessages();
    /// Runs a handler. If it throws, the session closes without a reply, so the caller knows nothing of its statement.
    void guard(const std::function<void()>& handler);
    void reportMemory();
    /// Stops or continues reading, depending on what waits.
    void updateReading();
    /// Handles the remaining messages after the other tasks of the loop.
    void continueLater();
    void onIdleLimit();
    void endSession();

    TrafficState& state;
    const SessionProtocol& protocol;
    Listener& listener;
    std::unique_ptr<TcpConnection> socket;
    MemoryAccount::Share memory;
    SessionKey key;
    OperationAdmission admission;
    OneShotTimer idleTimer;
    /// Received bytes that are not decoded yet.
    std::string buffered;
    /// The number of bytes at the beginning of `buffered` in which no message ends.
    std::size_t numSearched = 0;
    /// The bytes of the last statement.
    std::size_t statementSize = 0;
    /// Whether more messages are handled in a later turn.
    bool isContinuing = false;
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
    std::optional<SessionStartup> startup;
    SessionContext context;
    TransactionState transactionState = TransactionState::Idle;
    AccessMode transactionMode = AccessMode::Write;
    BootTime transactionBegan;
    /// The route with which the transaction began; nullptr while none is open. A newer one applies to the next transaction.
    std::shared_ptr<const SessionRoute> transactionRoute;
    bool hasTransactionWritten = false;
    /// Whether a statement was started in the transaction.
    bool hasTransactionRun = false;
    /// The connection on which the open transaction runs.
    HeldConnection held;
    std::shared_ptr<StatementRun> run;
    std::optional<LogPoint> ownCommit;
    /// The id of the last statement, for logs.
    RequestId statementId;
    /// When the first buffered byte arrived, on the boot clock and on the steady clock.
    BootTime firstByteAt;
    TimePoint firstByteAtSteady;
    /// When the first byte of the current statement arrived, on both clocks.
    BootTime arrivedAt;
    TimePoint arrivedAtSteady;
    /// The transaction was ended by its idle limit, and the caller was not told yet.
    bool mustReportAbort = false;
    /// The session closes after its next statement or transaction.
    bool mustClose = false;
    bool hasEnded = false;
    bool isProcessing = false;
};

} // namespace lentiljunction
