#pragma once

#include <cstddef>

namespace lentiljunction {

/// Decides whether an instance may take the duty to replace primaries over.
///
/// An instance that is cut off with a few others sees the holder and many primaries as gone, although
/// only its own path is. So most instances must answer it, and a share of all must have lost the
/// primary too.
///
/// Not thread-safe.
class TakeoverVote {
public:
    /// @param numInstances all instances that are known, this one included
    explicit TakeoverVote(std::size_t numInstances)
        : numInstances(numInstances)
    {
    }

    /// Another instance answered.
    ///
    /// @param agrees whether it has lost the primary as well
    void addVote(bool hasLostPrimary);

    /// @returns whether the duty may be taken over
    bool isWon() const;

    std::size_t getNumVotes() const { return this->numVotes; }
    std::size_t getNumAgreeing() const { return this->numAgreeing; }

private:
    std::size_t numInstances;
    /// This instance counts for itself.
    std::size_t numVotes = 1;
    std::size_t numAgreeing = 1;
};

/// @returns how many instances must have lost a primary before it is replaced
std::size_t getRequiredReporters(std::size_t numInstances);

} // namespace lentiljunction
