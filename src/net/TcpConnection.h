#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/EventLoop.h"
#include "lentiljunction/core/Failure.h"
#include "lentiljunction/settings/Settings.h"

#include <functional>
#include <memory>
#include <string>

namespace lentiljunction {

/// A TCP connection that passes received bytes to a listener.
///
/// Everything runs on the thread of the event loop. After close() nothing is called any more. A connection whose listener
/// throws is closed, and the listener is told as if the peer had closed it.
class TcpConnection {
public:
    /// Receives the events of a connection.
    class Listener {
    public:
        virtual ~Listener() = default;

        /// The connection is open; not called for accepted ones.
        virtual void onSocketOpened() = 0;

        /// Called when bytes are received.
        ///
        /// @param bytes all bytes not consumed so far; the listener removes the bytes that it consumes
        virtual void onSocketBytes(std::string& bytes) = 0;

        /// Called when the peer closed the connection, it failed or it could not be established.
        ///
        /// @param reason the error message of the system
        /// @param isRefused whether the connection was refused because no process listens at the address
        virtual void onSocketClosed(const std::string& reason, bool isRefused) = 0;
    };

    ~TcpConnection();
    TcpConnection(const TcpConnection&) = delete;
    TcpConnection& operator=(const TcpConnection&) = delete;

    /// Opens a connection.
    ///
    /// @param listener receives the events until close()
    static std::unique_ptr<TcpConnection> connect(EventLoop& loop, const Endpoint& endpoint, Listener& listener);

    /// Sends bytes after those that were sent before. Disconnects a peer that does not read.
    void send(const std::string& bytes);

    /// Stops reading, so that the peer cannot send more than the buffers of the system hold, or reads again. While reading
    /// is stopped, the end of the connection is not noticed.
    void setReading(bool isWanted);

    /// @returns the memory of the bytes that are not consumed or not sent
    std::size_t getBufferedBytes() const;

    /// Closes the connection once all queued bytes are sent. The listener is not called any more.
    ///
    /// @param limit time for the peer to receive them; then the connection is reset
    /// @param receipt destroyed when the connection is closed
    void closeAfterSending(Duration limit, std::shared_ptr<const void> receipt = nullptr);

    /// Resets the connection; undelivered bytes are discarded. The listener is not called any more.
    void close();

private:
    friend class TcpServer;
    class Implementation;
    explicit TcpConnection(std::shared_ptr<Implementation> implementation);
    void startReading(Listener& listener);
    std::shared_ptr<Implementation> implementation;
};

/// A listening TCP port.
class TcpServer {
public:
    /// @param accepted the new connection, which the handler owns
    /// @returns the listener of the connection
    using AcceptHandler = std::function<TcpConnection::Listener&(std::unique_ptr<TcpConnection> accepted)>;

    explicit TcpServer(EventLoop& loop);
    ~TcpServer();
    TcpServer(const TcpServer&) = delete;
    TcpServer& operator=(const TcpServer&) = delete;

    /// Opens the port. Can be tried again after a failure.
    ///
    /// @param failure says why the port cannot be opened
    bool listen(const Endpoint& endpoint, AcceptHandler acceptor, Failure& failure);

    /// Closes the port; connections stay.
    void close();

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace lentiljunction
