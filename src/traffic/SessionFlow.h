#pragma once

#include "../net/TcpConnection.h"
#include "StatementRun.h"
#include "lentiljunction/interactive/SessionContext.h"
#include "lentiljunction/interactive/SessionProtocol.h"

#include <memory>
#include <optional>

namespace lentiljunction {

/// One caller's session: a connection with values, prepared statements and transactions.
///
/// Answers itself whatever needs no upstream. The begin of a transaction waits for its first
/// statement, so an empty one costs nothing and the upstream is chosen as late as possible.
///
/// Belongs to the traffic thread.
class SessionFlow : private TcpConnection::Listener {
public:
    /// Is told what becomes of the session.
    class Listener {
    public:
        virtual ~Listener() = default;

        /// The session is over; the listener destroys it later.
        virtual void onSessionOver(SessionFlow& session) = 0;

        /// Counts an answer.
        ///
        /// @param route the session's route, or nullptr
        virtual void onStatementAnswered(const Route* route, const StatementRequest& request, const StatementRun::Result& result) = 0;

        /// Counts a statement that was refused without asking an upstream.
        virtual void onRefusedLocally(StatementTrouble trouble) = 0;
    };

    SessionFlow(TrafficState& state, const SessionProtocol& protocol, Listener& listener, std::unique_ptr<TcpConnection> socket);
    ~SessionFlow() override;

    /// @returns the listener for the session's socket
    TcpConnection::Listener& getSocketListener() { return *this; }

    /// Looks again for an upstream after the beliefs changed.
    void onBeliefsChanged();

    /// Closes the session as soon as nothing is under way: no statement and no transaction.
    void closeWhenIdle();

    /// Closes the session as soon as its next statement, or transaction, is over.
    void closeWhenServed() { this->mustClose = true; }

    /// Closes the session now; an open transaction is rolled back.
    void closeNow();

    /// @returns whether a statement or a transaction is under way
    bool isBusy() const { return this->run != nullptr || this->transactionState != TransactionState::Idle; }

    /// @returns whether a statement is under way
    bool isRunning() const { return this->run != nullptr; }

private:
    void onSocketOpened() override { }
    void onSocketBytes(std::string& bytes) override;
    void onSocketClosed(const std::string& reason, bool isRefused) override;
    void onStartup(const SessionStartup& startup);
    void onStatement(SessionStatement statement);
    void onTransactionControl(const SessionStatement& statement);
    void onUpstreamStatement(SessionStatement statement);
    std::optional<SessionReply> answerLocally(const SessionStatement& statement);
    std::optional<AccessMode> findMode(const SessionStatement& statement) const;
    StatementRequest makeRequest(SessionStatement statement, AccessMode mode, const std::shared_ptr<const RouteTable>& routes, const Route& route) const;
    void openAhead(const SessionStatement& begin);
    void restartIdleTimer();
    void startRun(SessionStatement statement, AccessMode mode, const std::shared_ptr<const RouteTable>& routes, const Route& route);
    void onRunFinished(const StatementRequest& request, StatementRun::Result result);
    void reply(ReplyCode code, TransactionState newState, const std::string& message, StatementTrouble trouble = StatementTrouble::NotAllowed);
    void send(const SessionReply& answer);
    void processBuffered();
    void onIdleLimit();
    void over();

    TrafficState& state;
    const SessionProtocol& protocol;
    Listener& listener;
    std::unique_ptr<TcpConnection> socket;
    OneShotTimer idleTimer;
    std::string buffered;
    std::optional<SessionStartup> startup;
    SessionContext context;
    TransactionState transactionState = TransactionState::Idle;
    AccessMode transactionMode = AccessMode::Write;
    BootTime transactionBegan;
    /// The configuration with which the transaction began; a newer one applies from the next.
    std::shared_ptr<const RouteTable> transactionRoutes;
    bool hasTransactionWritten = false;
    HeldLink held;
    std::shared_ptr<StatementRun> run;
    std::optional<OwnCommit> ownCommit;
    /// The id of the last statement, for logs.
    RequestId statementId;
    /// When the first byte of what is buffered came.
    BootTime firstByteAt;
    TimePoint firstByteAtSteady;
    /// When the first byte of the statement under way came.
    BootTime arrivedAt;
    TimePoint arrivedAtSteady;
    /// The transaction was ended while the caller rested, and the caller does not know yet.
    bool mustTellAborted = false;
    bool mustClose = false;
    bool isOver = false;
    bool isProcessing = false;
};

} // namespace lentiljunction
