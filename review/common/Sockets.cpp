#include "Sockets.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

    sockaddr_in makeAddress(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    void setNoDelay(int descriptor)
    {
        int enabled = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    }

} // namespace

int listenOnLoopback(std::uint16_t& port, int backlog)
{
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int enabled = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in address = makeAddress(port);
    socklen_t size = sizeof address;
    bool isOpen = ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0 && ::listen(descriptor, backlog) == 0
        && ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    if (!isOpen) {
        ::close(descriptor);
        return -1;
    }
    port = ntohs(address.sin_port);
    return descriptor;
}

std::uint16_t reservePort()
{
    // The socket stays bound and does not listen, so nobody else gets the port by chance.
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int enabled = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in address = makeAddress(0);
    socklen_t size = sizeof address;
    bool isBound = ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0 && ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    return isBound ? ntohs(address.sin_port) : 0;
}

int connectToLoopback(std::uint16_t port, std::chrono::milliseconds receiveTimeout)
{
    int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    timeval limit { receiveTimeout.count() / 1000, (receiveTimeout.count() % 1000) * 1000 };
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    sockaddr_in address = makeAddress(port);
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return -1;
    }
    setNoDelay(descriptor);
    return descriptor;
}

void startConnecting(int descriptor, std::uint16_t port)
{
    sockaddr_in address = makeAddress(port);
    (void)::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address);
}

void serve(int listener, std::function<void(int descriptor)> handler)
{
    std::thread([listener, handler = std::move(handler)] {
        for (;;) {
            int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                return;
            setNoDelay(descriptor);
            std::thread([descriptor, handler] { handler(descriptor); }).detach();
        }
    }).detach();
}

bool sendAll(int descriptor, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        ssize_t size = ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

bool takeLine(int descriptor, std::string& buffer, std::string& line)
{
    for (;;) {
        std::size_t end = buffer.find("\r\n");
        if (end != std::string::npos) {
            line = buffer.substr(0, end);
            buffer.erase(0, end + 2);
            return true;
        }
        char received[16384];
        ssize_t size = ::recv(descriptor, received, sizeof received, 0);
        if (size <= 0)
            return false;
        buffer.append(received, static_cast<std::size_t>(size));
    }
}

} // namespace review
