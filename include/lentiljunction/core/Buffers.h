#pragma once

#include <cstddef>
#include <string>

namespace lentiljunction {

/// The capacity in bytes that an empty buffer may keep. Most messages fit.
constexpr std::size_t maximumIdleCapacity = 16384;

/// Frees the memory of an empty buffer that once held a long message. There are as many buffers as connections.
inline void releaseIdleCapacity(std::string& buffer)
{
    if (buffer.empty() && buffer.capacity() > maximumIdleCapacity)
        std::string().swap(buffer);
}

} // namespace lentiljunction
