#include "FuzzConnection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lentiljunction::lab {

namespace {

    constexpr timeval sendTimeout { 0, 300000 };
    constexpr timeval receiveTimeout { 0, 10000 };
    /// Longer inputs are sent byte by byte only up to here.
    constexpr std::size_t mostSingleBytes = 400;
    constexpr std::size_t longestPiece = 5000;

} // namespace

FuzzConnection::FuzzConnection(int port)
    : descriptor(::socket(AF_INET, SOCK_STREAM, 0))
{
    int enabled = 1;
    ::setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_SNDTIMEO, &sendTimeout, sizeof sendTimeout);
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof receiveTimeout);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)::connect(this->descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
}

FuzzConnection::~FuzzConnection()
{
    ::close(this->descriptor);
}

bool FuzzConnection::sendPiece(const char* begin, std::size_t size)
{
    return ::send(this->descriptor, begin, size, MSG_NOSIGNAL) == static_cast<ssize_t>(size);
}

void FuzzConnection::send(const std::string& bytes, Random& random)
{
    std::uint64_t way = random.below(3);
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        std::size_t size = bytes.size() - sent;
        if (way == 0 && sent < mostSingleBytes)
            size = 1;
        if (way == 1)
            size = std::min<std::size_t>(size, random.below(longestPiece) + 1);
        if (!this->sendPiece(bytes.data() + sent, size))
            return;
        sent += size;
    }
}

void FuzzConnection::drain()
{
    std::array<char, 16384> received {};
    while (::recv(this->descriptor, received.data(), received.size(), 0) > 0) { }
}

void FuzzConnection::resetAtEnd()
{
    linger immediately { 1, 0 };
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &immediately, sizeof immediately);
}

} // namespace lentiljunction::lab
