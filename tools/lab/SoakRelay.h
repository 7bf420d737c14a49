#pragma once

#include "../../src/net/TcpConnection.h"
#include "lentiljunction/core/EventLoop.h"

#include <map>
#include <memory>

namespace lentiljunction::lab {

/// A loopback port in front of an upstream, which misbehaves as it is told.
///
/// Methods may be called from any thread.
class SoakRelay {
public:
    /// How bytes pass.
    enum class Mode {
        Pass,
        /// Each piece comes later, in order.
        Delayed,
        /// What instances send does not arrive; answers do.
        MuteRequests,
        /// Requests arrive; answers do not.
        MuteAnswers,
        /// Nothing passes, and connections stay open.
        Silent,
    };

    SoakRelay(EventLoop& loop, Endpoint target);
    ~SoakRelay();
    SoakRelay(const SoakRelay&) = delete;
    SoakRelay& operator=(const SoakRelay&) = delete;

    bool listen(const Endpoint& endpoint, Failure& failure);

    /// Changes how bytes pass, for open connections as well.
    void setMode(Mode newMode);

    /// Breaks every open connection.
    void reset();

private:
    class Pipe;

    EventLoop& loop;
    Endpoint target;
    TcpServer port;
    /// Belongs to the loop, as do the pipes.
    Mode mode = Mode::Pass;
    std::map<Pipe*, std::shared_ptr<Pipe>> pipes;
};

} // namespace lentiljunction::lab
