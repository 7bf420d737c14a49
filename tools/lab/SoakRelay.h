#pragma once

#include "../../src/net/ByteSocket.h"
#include "lentiljunction/core/EventLoop.h"

#include <map>
#include <memory>

namespace lentiljunction::lab {

/// A loopback port in front of an upstream, which misbehaves as it is told.
///
/// Methods may be called from any thread.
class SoakRelay {
public:
    /// How bytes forward.
    enum class Mode {
        PassThrough,
        /// Each piece comes later, in order.
        Delayed,
        /// What instances send does not arrive; answers do.
        DropRequests,
        /// Requests arrive; answers do not.
        DropResponses,
        /// Nothing passes, and connections stay open.
        DropAll,
    };

    SoakRelay(EventLoop& loop, Endpoint target);
    ~SoakRelay();
    SoakRelay(const SoakRelay&) = delete;
    SoakRelay& operator=(const SoakRelay&) = delete;

    bool listen(const Endpoint& endpoint, Failure& failure);

    /// Changes how bytes forward, for open connections as well.
    void setMode(Mode newMode);

    /// Breaks every open connection.
    void reset();

private:
    class Pipe;

    EventLoop& loop;
    Endpoint target;
    ByteListener port;
    /// Belongs to the loop, as do the pipes.
    Mode mode = Mode::PassThrough;
    std::map<Pipe*, std::shared_ptr<Pipe>> pipes;
};

} // namespace lentiljunction::lab
