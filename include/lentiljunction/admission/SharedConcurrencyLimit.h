#pragma once

#include "lentiljunction/admission/ConcurrencyPolicy.h"

namespace lentiljunction {

/// Limits the number of statements that one instance has in flight at an upstream shared with others.
///
/// An instance does not know how many statements the other instances have in flight. It only sees the
/// effects: the upstream refuses statements beyond its queue, or answers slowly. The limit therefore
/// grows by a constant step while it is used up and answers are fast, and shrinks by a factor on refusals
/// and slow answers (additive increase, multiplicative decrease), so that the instances converge to
/// about equal shares. Single latencies vary with the work, so the mean latency decides.
///
/// Not thread-safe; one traffic thread owns it.
class SharedConcurrencyLimit : public ConcurrencyPolicy {
public:
    /// @param slots the statements an upstream executes at one time, at least 1
    explicit SharedConcurrencyLimit(int slots);

    /// Records that a statement was answered.
    ///
    /// @param latency from sending it to its answer
    /// @param numRunning the statements that ran when it was answered, itself included
    void onAnswered(Duration latency, int numRunning);

    void onAnswer(const Answer& answer) override { this->onAnswered(answer.heldTime, answer.numRunning); }
    void onRefused() override;

    /// @returns the limit, from 1 to a small multiple of the slots
    int getLimit() const override { return static_cast<int>(this->limit); }

private:
    double maximum;
    double limit;
    Duration meanLatency { 0 };
};

} // namespace lentiljunction
