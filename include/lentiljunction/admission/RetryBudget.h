#pragma once

namespace lentiljunction {

/// Bounds retries to a share of requests, so that retries never multiply an overload.
///
/// Not thread-safe.
class RetryBudget {
public:
    /// @param percent retries allowed per hundred requests
    explicit RetryBudget(int percent);

    /// Takes the share of a newer bundle.
    void setPercent(int newPercent) { this->percent = newPercent; }

    /// Earns the share of one request.
    void onRequest();

    /// @returns whether a retry may be made; it is then paid for
    bool tryRetry();

private:
    int percent;
    double tokens;
};

} // namespace lentiljunction
