#include "LineCaller.h"

#include <arpa/inet.h>
#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

namespace lentiljunction::lab {

namespace {

    constexpr const char* loopback = "127.0.0.1";

} // namespace

LineCaller::LineCaller(std::uint16_t port, const std::string& database, std::chrono::seconds timeout, const std::string& key)
{
    this->descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    timeval limit { timeout.count(), 0 };
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, loopback, &address.sin_addr);
    if (::connect(this->descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
        this->startupResponse = this->sendRaw("STARTUP " + database + " " + key + "\r\n");
}

LineCaller::~LineCaller()
{
    ::close(this->descriptor);
}

std::string LineCaller::execute(const std::string& text)
{
    return this->sendRaw("QUERY " + this->idPrefix + std::to_string(this->nextId++) + " " + text + "\r\n");
}

std::string LineCaller::sendRaw(const std::string& bytes)
{
    this->sentAt = std::chrono::steady_clock::now();
    if (::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0)
        return "";
    return this->readResponse();
}

bool LineCaller::isClosed() const
{
    char byte = 0;
    ssize_t size = ::recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::string LineCaller::readResponse()
{
    std::string response;
    for (;;) {
        std::size_t end = this->buffer.find("\r\n");
        if (end == std::string::npos) {
            char received[4096];
            ssize_t size = ::recv(this->descriptor, received, sizeof received, 0);
            if (size <= 0) {
                this->isTimedOut = size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
                return response;
            }
            this->buffer.append(received, static_cast<std::size_t>(size));
            continue;
        }
        std::string line = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 2);
        response += response.empty() ? line : "|" + line;
        if (line.rfind("READY", 0) == 0)
            return response;
    }
}

bool isServed(const std::string& response)
{
    return response.find("DONE sig.") != std::string::npos;
}

bool contains(const std::string& response, const std::string& part)
{
    return response.find(part) != std::string::npos;
}

} // namespace lentiljunction::lab
