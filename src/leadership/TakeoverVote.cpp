#include "lentiljunction/leadership/TakeoverVote.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// Replacing a primary costs every instance a gap of the same length as it spares those that have
    /// lost it, so a third of them must have.
    constexpr std::size_t inverseShare = 3;
    constexpr std::size_t leastReporters = 2;

} // namespace

std::size_t getNeededReporters(std::size_t numInstances)
{
    std::size_t share = (numInstances + inverseShare - 1) / inverseShare;
    return std::min(std::max(leastReporters, share), std::max<std::size_t>(1, numInstances));
}

void TakeoverVote::onAnswer(bool agrees)
{
    this->numAnswers++;
    if (agrees)
        this->numAgreeing++;
}

bool TakeoverVote::isWon() const
{
    return 2 * this->numAnswers > this->numInstances && this->numAgreeing >= getNeededReporters(this->numInstances);
}

} // namespace lentiljunction
