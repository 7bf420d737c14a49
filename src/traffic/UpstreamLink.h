#pragma once

#include "../net/OneShotTimer.h"
#include "../net/TcpConnection.h"
#include "lentiljunction/core/Clock.h"
#include "lentiljunction/interactive/SessionContext.h"
#include "lentiljunction/interactive/SessionProtocol.h"
#include "lentiljunction/routes/UpstreamEntry.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace lentiljunction {

/// One connection to an upstream.
///
/// Commands are answered in the order in which they were sent; several may be under way.
///
/// Everything runs on the thread of the event loop. No callback runs after destruction.
class UpstreamLink : private TcpConnection::Listener {
public:
    /// @param reply nothing when the connection broke before the whole answer came
    using ReplyCallback = std::function<void(std::optional<SessionReply> reply)>;

    /// Why a link cannot be used.
    enum class Trouble {
        /// Nobody listens there.
        Refused,
        /// No answer in time, or the network broke the connection.
        Silent,
        /// The upstream accepts no further connection.
        Full,
        /// Another upstream answers at the address.
        WrongUpstream,
    };

    /// Is told what becomes of the link.
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void onLinkReady(UpstreamLink& link) = 0;

        /// Bytes were sent or received.
        virtual void onLinkBytes(std::size_t number) = 0;

        /// The link is of no further use. Its waiting callbacks have run.
        virtual void onLinkLost(UpstreamLink& link, Trouble trouble, const std::string& reason) = 0;
    };

    /// Starts to open a connection.
    ///
    /// @param openLimit an upstream that has not answered by then is silent
    UpstreamLink(EventLoop& loop, const Clock& clock, const SessionProtocol& protocol, const UpstreamEntry& upstream, const InstanceId& self, Duration openLimit, Listener& listener);

    ~UpstreamLink() override;

    /// Sends a command.
    void send(const UpstreamCommand& command, ReplyCallback callback);

    /// Gives the connection up as silent; waiting callbacks get no answer.
    void breakOff() { this->lose(Trouble::Silent, "an answer did not come"); }

    /// Closes the connection at once. No callback runs any more.
    void close();

    /// @returns whether the upstream took the connection
    bool isReady() const { return this->stage == Stage::Ready; }

    /// @returns whether no answer is awaited
    bool isQuiet() const { return this->callbacks.empty(); }

    /// @returns when the oldest answer that is awaited was asked for
    std::optional<TimePoint> getWaitingSince() const;

    const UpstreamId& getUpstream() const { return this->upstream; }

    /// What the connection holds of sessions that used it.
    SessionContext::LinkContext context;

private:
    enum class Stage {
        Opening,
        Ready,
        Lost,
    };

    struct Awaited {
        ReplyCallback callback;
        TimePoint sentAt;
    };

    void onSocketOpened() override;
    void onSocketBytes(std::string& bytes) override;
    void onSocketClosed(const std::string& reason, bool isRefused) override;
    void onAnswer(SessionReply answer);
    void lose(Trouble trouble, const std::string& reason);

    const Clock& clock;
    const SessionProtocol& protocol;
    UpstreamId upstream;
    GroupId group;
    InstanceId self;
    Listener& listener;
    Stage stage = Stage::Opening;
    std::unique_ptr<TcpConnection> socket;
    std::unique_ptr<OneShotTimer> openTimer;
    std::deque<Awaited> callbacks;
    /// Bytes received of an answer that is not complete.
    std::size_t numBytesLeft = 0;
    SessionReply partial;
    /// Shared with code that calls back, which may destroy this object.
    std::shared_ptr<bool> isAlive = std::make_shared<bool>(true);
};

} // namespace lentiljunction
