#include "SocketOptions.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace lentiljunction {

namespace {

    /// Keep-alive probes of an idle connection: the first after this time, then one each interval.
    constexpr int keepAliveIdleSeconds = 3;
    constexpr int keepAliveIntervalSeconds = 1;
    constexpr int keepAliveProbes = 3;

    void setOption(int descriptor, int level, int name, int value)
    {
        // A system that lacks an option still works; deadlines then find silent connections.
        (void)::setsockopt(descriptor, level, name, &value, sizeof value);
    }

} // namespace

void setPromptAndMortal(asio::ip::tcp::socket& socket)
{
    int descriptor = socket.native_handle();
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(unacknowledgedLimit.count()));
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
}

void closeAbruptly(asio::ip::tcp::socket& socket)
{
    asio::error_code ignored;
    if (socket.is_open())
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace lentiljunction
