#pragma once

#include "lentiljunction/core/Random.h"

#include <string>

namespace lentiljunction::tests {

/// Damages valid messages, so that they reach the parts of a decoder that random bytes do not.
///
/// The same seed gives the same messages.
class ByteMutator {
public:
    explicit ByteMutator(std::uint64_t seed)
        : random(seed)
    {
    }

    /// @param other a second valid message, from which pieces are taken
    /// @returns the message after one to four changes
    std::string mutate(std::string message, const std::string& other);

private:
    void change(std::string& message, const std::string& other);
    /// @returns a position from 0 to the length of the message
    std::size_t pick(const std::string& message) { return this->random.below(message.size() + 1); }

    Random random;
};

} // namespace lentiljunction::tests
