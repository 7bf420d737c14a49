#pragma once

#include <cstdint>
#include <random>

namespace lentiljunction {

/// A seeded random number generator, so that a test run can be repeated.
class Random {
public:
    /// @param seed the same seed gives the same numbers
    explicit Random(std::uint64_t seed)
        : engine(seed)
    {
    }

    /// @param limit more than zero
    /// @returns a number from 0 to limit - 1, uniformly distributed
    std::uint64_t below(std::uint64_t limit) { return std::uniform_int_distribution<std::uint64_t>(0, limit - 1)(this->engine); }

    /// @returns a number in the range [0, 1)
    double unit() { return std::uniform_real_distribution<double>(0.0, 1.0)(this->engine); }

    /// @returns 64 random bits
    std::uint64_t bits() { return this->engine(); }

private:
    std::mt19937_64 engine;
};

} // namespace lentiljunction
