#include "lentiljunction/admission/RetryBudget.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// The largest number of retries in a burst.
    constexpr double maximumTokens = 50;

} // namespace

RetryBudget::RetryBudget(int percent)
    : percent(percent)
    , tokens(maximumTokens)
{
}

void RetryBudget::onRequest()
{
    this->tokens = std::min(this->tokens + this->percent / 100.0, maximumTokens);
}

bool RetryBudget::tryRetry()
{
    if (this->tokens < 1)
        return false;

    this->tokens -= 1;
    return true;
}

} // namespace lentiljunction
