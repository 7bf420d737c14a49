#pragma once

#include "lentiljunction/core/EventLoop.h"
#include "lentiljunction/core/Failure.h"
#include "lentiljunction/settings/Settings.h"

#include <functional>
#include <memory>
#include <string>

namespace lentiljunction {

/// A TCP connection that hands over bytes as they come.
///
/// Everything runs on the thread of the event loop. After close() nothing is called any more.
class TcpConnection {
public:
    /// Is told what happens on a connection.
    class Listener {
    public:
        virtual ~Listener() = default;

        /// The connection is open; not called for accepted ones.
        virtual void onSocketOpened() = 0;

        /// @param bytes all bytes that are not taken yet; what is taken is removed by the listener
        virtual void onSocketBytes(std::string& bytes) = 0;

        /// The other side closed or broke the connection, or it could not be opened.
        ///
        /// @param isRefused nobody listens at the address
        virtual void onSocketClosed(const std::string& reason, bool isRefused) = 0;
    };

    ~TcpConnection();
    TcpConnection(const TcpConnection&) = delete;
    TcpConnection& operator=(const TcpConnection&) = delete;

    /// Opens a connection.
    ///
    /// @param listener told what happens, until close()
    static std::unique_ptr<TcpConnection> connect(EventLoop& loop, const Endpoint& endpoint, Listener& listener);

    /// Sends bytes after those that were sent before.
    void send(const std::string& bytes);

    /// Closes the connection after the bytes that wait were sent.
    void closeAfterSending();

    /// Breaks the connection at once and forgets the listener. Bytes that were not delivered yet never
    /// are.
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
    /// @param accepted gets the connection; a listener must be set by the result
    using Acceptor = std::function<TcpConnection::Listener&(std::unique_ptr<TcpConnection> accepted)>;

    explicit TcpServer(EventLoop& loop);
    ~TcpServer();
    TcpServer(const TcpServer&) = delete;
    TcpServer& operator=(const TcpServer&) = delete;

    /// Opens the port.
    ///
    /// @param failure says why the port cannot be opened
    bool listen(const Endpoint& endpoint, Acceptor acceptor, Failure& failure);

    /// Closes the port; connections stay.
    void close();

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace lentiljunction
