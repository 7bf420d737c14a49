#include "lentiljunction/leadership/TakeoverVote.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// Replacing a primary costs every instance a gap of the same length as it spares those that have
    /// lost it, so a third of them must have.
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
