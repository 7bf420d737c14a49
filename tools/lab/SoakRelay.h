#pragma once

#include "../../src/net/TcpConnection.h"
#include "lentiljunction/core/EventLoop.h"

#include <map>
#include <memory>

namespace lentiljunction::lab {

/// A TCP relay on loopback in front of an upstream that can delay or drop the bytes that pass.
///
/// Methods may be called from any thread.
class SoakRelay {
public:
    /// How the relay treats received bytes.
    enum class Mode {
        PassThrough,
        /// Forwards after a delay, in order.
        Delayed,
        /// Drops what instances send; responses pass.
        DropRequests,
        /// Drops responses; requests pass.
        DropResponses,
        /// Drops everything; connections stay open.
        DropAll,
    };

    /// @param loop runs the relay; must outlive this object
    /// @param target address of the upstream
    SoakRelay(EventLoop& loop, Endpoint target);
    ~SoakRelay();
    SoakRelay(const SoakRelay&) = delete;
    SoakRelay& operator=(const SoakRelay&) = delete;

    /// Starts to accept connections.
    ///
    /// @returns whether the port could be opened
    bool listen(const Endpoint& endpoint, Failure& failure);

    /// Changes the mode, also for open connections.
    void setMode(Mode newMode);

    /// Closes every open connection.
    void reset();

private:
    class Pipe;

    EventLoop& loop;
    Endpoint target;
    TcpServer port;
    /// Mode and pipes are used on the loop's thread only.
    Mode mode = Mode::PassThrough;
    std::map<Pipe*, std::shared_ptr<Pipe>> pipes;
};

} // namespace lentiljunction::lab
