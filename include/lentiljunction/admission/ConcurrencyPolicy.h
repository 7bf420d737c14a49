#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Rank.h"

#include <cstddef>
#include <optional>

namespace lentiljunction {

/// Statements of one kind take similar times at an upstream; those of different kinds differ by a factor of ten.
struct StatementClass {
    Rank rank = Rank::Normal;
    bool isWrite = true;

    bool operator<(const StatementClass& other) const { return this->rank != other.rank ? this->rank < other.rank : this->isWrite < other.isWrite; }
};

/// Decides how many statements this instance may have in flight at an upstream.
///
/// Not thread-safe; the traffic thread owns it.
class ConcurrencyPolicy {
public:
    /// A statement that ended at the upstream.
    struct Answer {
        /// From the grant of the connection to its release.
        Duration heldTime { 0 };
        /// When its last command was sent; empty when no command was answered.
        std::optional<TimePoint> sentAt;
        /// From sending its last command to the answer.
        Duration answerTime { 0 };
        /// Empty for a command that takes no slot of the upstream.
        std::optional<StatementClass> kind;
        /// The statements that ran when it ended, itself included.
        int numRunning = 0;
    };

    /// What the limit is based on.
    struct Evidence {
        double limit = 0;
        std::size_t numSamples = 0;
        /// Time since the last sample.
        Duration age { 0 };
    };

    virtual ~ConcurrencyPolicy() = default;
    virtual void onAnswer(const Answer& answer) = 0;

    /// Records that the upstream refused a statement because its queue was full.
    virtual void onRefused() = 0;

    /// @returns the limit, at least 1
    virtual int getLimit() const = 0;

    /// @returns the evidence, or nothing when the limit is not discovered
    virtual std::optional<Evidence> getEvidence() const { return std::nullopt; }
};

} // namespace lentiljunction
