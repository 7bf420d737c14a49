#pragma once

#include <cstddef>

namespace lentiljunction {

/// Decides whether an instance may take over the failover coordination.
///
/// An instance that is partitioned together with a few others reaches neither the coordinator nor many
/// primaries, although all of them work. So a majority of the instances must respond, and a share of all
/// instances must have lost the primary as well.
///
/// Not thread-safe.
class TakeoverVote {
public:
    /// @param numInstances the number of known instances, this one included
    explicit TakeoverVote(std::size_t numInstances)
        : numInstances(numInstances)
    {
    }

    /// Counts the response of another instance.
    ///
    /// @param hasLostPrimary whether that instance has lost the primary as well
    void addVote(bool hasLostPrimary);

    /// @returns whether this instance may take over
    bool isWon() const;

    /// @returns the number of instances that responded, this one included
    std::size_t getNumVotes() const { return this->numVotes; }

    /// @returns the number of instances that have lost the primary, this one included
    std::size_t getNumAgreeing() const { return this->numAgreeing; }

private:
    std::size_t numInstances;
    /// This instance votes for itself.
    std::size_t numVotes = 1;
    std::size_t numAgreeing = 1;
};

/// @returns the number of instances that must have lost a primary before it is replaced
std::size_t getRequiredReporters(std::size_t numInstances);

} // namespace lentiljunction
