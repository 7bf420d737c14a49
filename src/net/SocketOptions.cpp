#include "SocketOptions.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lentiljunction {

namespace {

    /// The first TCP keep-alive probe is sent after this idle time, further ones at the interval below.
    constexpr int keepAliveIdleSeconds = 3;
    constexpr int keepAliveIntervalSeconds = 1;
    constexpr int keepAliveProbes = 3;

    void setOption(int descriptor, int level, int name, int value)
    {
        // Errors are ignored: where the system lacks an option, request timeouts still detect dead connections.
        (void)::setsockopt(descriptor, level, name, &value, sizeof value);
    }

} // namespace

void setNoDelayAndKeepAlive(asio::ip::tcp::socket& socket)
{
    int descriptor = socket.native_handle();
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(unacknowledgedTimeout.count()));
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
}

void discardUnacknowledgedOnClose(asio::ip::tcp::socket& socket)
{
    // The option of asio would be undone when the socket is destroyed.
    linger immediately {};
    immediately.l_onoff = 1;
    (void)::setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
}

void closeWithReset(asio::ip::tcp::socket& socket)
{
    asio::error_code ignored;
    if (socket.is_open())
        discardUnacknowledgedOnClose(socket);
    socket.close(ignored);
}

} // namespace lentiljunction
