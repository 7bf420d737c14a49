#pragma once

#include "AnswerBasis.h"
#include "HeldConnection.h"
#include "StatementDeadlines.h"
#include "StatementFailure.h"
#include "StatementHealth.h"
#include "TrafficState.h"
#include "lentiljunction/interactive/ReplyPolicy.h"
#include "lentiljunction/interactive/SessionContext.h"
#include "lentiljunction/routes/SessionRoute.h"

#include <functional>
#include <memory>
#include <string>

namespace lentiljunction {

/// A statement of a session with all that is needed to run it on an upstream.
struct StatementRequest {
    SessionStatement statement;
    StatementTraits traits;
    /// The mode of the transaction that the statement begins or belongs to.
    AccessMode transactionMode = AccessMode::Write;
    /// Keeps the route of the requirement alive.
    std::shared_ptr<const SessionRoute> route;
    ReadRequirement requirement;
    CallerId caller;
    /// Empty in a deployment without workspaces, and for a caller without a key on a public route.
    WorkspaceId workspace;
    /// The key of the caller, which is checked again before each message to an upstream.
    KeyDigest key;
    TimePoint arrivedAt;
};

/// Runs one statement of a session on an upstream and decides the reply to the caller.
///
/// Chooses an upstream, waits for a connection, applies the session's context to it, begins a
/// transaction if required, sends the statement, and retries it where that is safe.
///
/// @see decideReply
class StatementRun : public std::enable_shared_from_this<StatementRun> {
public:
    /// The result of the statement.
    struct Result {
        SessionReply reply;
        /// The last failure, when the statement did not succeed.
        FailureCause cause = FailureCause::None;
        /// The connection that the open transaction holds; empty after a single statement.
        HeldConnection held;
        /// The upstream that answered last, for logs.
        UpstreamId upstream;
        /// The log point of a commit that wrote.
        std::optional<LogPoint> commit;
        /// Whether the reply tells the caller that its writes are committed.
        bool isAcknowledgedWrite = false;
        /// On what a successful reply rests.
        AnswerBasis basis;
        int numAttempts = 0;
    };

    using Callback = std::function<void(Result)>;

    /// @param state must outlive this object
    /// @param context the session's context; must outlive this object
    StatementRun(TrafficState& state, const SessionContext& context, StatementRequest request, Callback callback);

    /// Starts a statement that needs a connection.
    void start() { this->attempt(); }

    /// Runs a statement on the connection that its transaction holds.
    void startOnHeldConnection(const HeldConnection& newHeld);

    /// Retries to find an upstream after the known state changed, if the statement waits for one.
    void onKnownStateChanged();

    /// Stops because the caller disconnected. The callback is not called.
    void cancel();

private:
    void attempt();
    /// Runs a handler. If it throws, the statement ends: in doubt once it was sent.
    void guard(const std::function<void()>& handler);
    /// Refuses the statement if its caller's key is no longer accepted.
    ///
    /// @returns whether the statement was refused
    bool refuseInvalidKey();
    void onGranted(StatementConnection* connection, ConnectionSource::Denial denial);
    void prepare();
    void onPrepared(const std::optional<SessionReply>& reply, bool isLast, bool isBegin, std::size_t attemptNumber);
    void send();
    void onReply(std::optional<SessionReply> reply);
    AttemptOutcome classify(const SessionReply& reply) const;
    /// @returns whether the primary may have committed a write before another one replaced it, and it returned
    bool mayPredateReturn(const SessionReply& reply) const;
    AnswerBasis makeBasis(AnswerBasis::Kind kind) const;
    void verifyPrimary(SessionReply reply);
    void concludeAttempt(AttemptOutcome outcome, SessionReply reply, bool mayTryAgain = true);
    bool mayResend(AttemptOutcome outcome, const SessionReply& reply) const;
    void retry();
    void waitForTarget();
    bool isWaitWorthwhile() const;
    void onTimer();
    void replyToCaller(const ReplyDecision& decision);
    std::string describeExpectedReturn() const;
    void forwardReply(SessionReply reply);
    void finish(SessionReply reply);
    void discardConnection();
    bool mayRetry() const { return !this->isOnHeldConnection && this->numSent < maximumAttempts && this->state.getClock().now() < this->deadlines.getUpstreamWaitDeadline(); }
    bool needsPrimary() const;
    const PreparedShape* findPreparedShape() const
    {
        return this->request.statement.verb == SessionVerb::Execute ? this->context.findPrepared(this->request.statement.name) : nullptr;
    }

    TrafficState& state;
    const SessionContext& context;
    StatementRequest request;
    Callback callback;
    StatementDeadlines deadlines;
    Target target;
    HeldConnection held;
    ConnectionSource::Ticket ticket = 0;
    OneShotTimer timer;
    /// Changes whenever an attempt starts or ends, so that late replies to it are ignored.
    std::size_t attemptNumber = 0;
    /// How often the statement was sent to an upstream.
    int numSent = 0;
    bool isStatementSent = false;
    bool isWaitingForTarget = false;
    /// The statement continues a transaction and must run on its connection.
    bool isOnHeldConnection = false;
    bool isResendPending = false;
    bool isAwaitingVerification = false;
    bool isDone = false;
    BootTime sentAt;
    AnswerBasis basis;
    StatementHealth health;
    StatementFailure failure;
};

} // namespace lentiljunction
