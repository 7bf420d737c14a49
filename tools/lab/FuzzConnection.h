#pragma once

#include "lentiljunction/core/Random.h"

#include <string>

namespace lentiljunction::lab {

/// A connection of a peer that sends its bytes in pieces, and neither reads all responses nor ends in order.
class FuzzConnection {
public:
    /// Connects to a port on loopback.
    explicit FuzzConnection(int port);
    ~FuzzConnection();
    FuzzConnection(const FuzzConnection&) = delete;
    FuzzConnection& operator=(const FuzzConnection&) = delete;

    /// Sends bytes at once, byte by byte or in pieces of random length, until the peer does not take them for some time.
    void send(const std::string& bytes, Random& random);

    /// Reads what arrives within a short time.
    void drain();

    /// Lets the destructor reset the connection instead of closing it.
    void resetAtEnd();

private:
    bool sendPiece(const char* begin, std::size_t size);

    int descriptor;
};

} // namespace lentiljunction::lab
