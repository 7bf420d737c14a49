#pragma once

namespace lentiljunction {

/// Limits retries to a share of all requests, so that retries do not amplify an overload.
///
/// Not thread-safe.
class RetryBudget {
public:
    /// @param percent the retries allowed per hundred requests
    explicit RetryBudget(int percent);

    /// Applies the share of a newer bundle.
    void setPercent(int newPercent) { this->percent = newPercent; }

    /// Adds the share of one request to the budget.
    void onRequest();

    /// Takes one retry from the budget if there is one left.
    ///
    /// @returns whether the retry is allowed
    bool tryRetry();

private:
    int percent;
    double tokens;
};

} // namespace lentiljunction
