#include "lentiljunction/leadership/TakeoverVote.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// A failover interrupts every instance for as long as it helps those that have lost the primary, so
    /// at least a third of the instances must have lost it.
    constexpr std::size_t requiredShareDivisor = 3;
    constexpr std::size_t minimumReporters = 2;

} // namespace

std::size_t getRequiredReporters(std::size_t numInstances)
{
    std::size_t share = (numInstances + requiredShareDivisor - 1) / requiredShareDivisor;
    return std::min(std::max(minimumReporters, share), std::max<std::size_t>(1, numInstances));
}

void TakeoverVote::addVote(bool hasLostPrimary)
{
    this->numVotes++;
    if (hasLostPrimary)
        this->numAgreeing++;
}

bool TakeoverVote::isWon() const
{
    return 2 * this->numVotes > this->numInstances && this->numAgreeing >= getRequiredReporters(this->numInstances);
}

} // namespace lentiljunction
