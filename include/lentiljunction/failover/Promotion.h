#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/session/UpstreamStatus.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// One attempt to make an upstream the primary of a term that this instance owns.
///
/// Fences a majority of the upstreams at the term, then promotes the one with the highest log head among
/// them. A term is used for one upstream only: after a lost answer, the command is sent again to the same
/// upstream, never to another.
///
/// Driven by events; returns commands for the owner to send. Not thread-safe; the control thread owns it.
///
/// @code
/// Promotion promotion(term, upstreams, leaving, majority, clock.now());
/// for (const Promotion::Command& command : promotion.takeCommands())
///     send(command);
/// @endcode
class Promotion {
public:
    /// The operation that an upstream executes.
    enum class Operation {
        Fence,
        Promote,
    };

    /// A command to send to an upstream.
    struct Command {
        UpstreamId upstream;
        Operation operation = Operation::Fence;
        Term term;
    };

    /// The state of the attempt.
    enum class State {
        Fencing,
        Promoting,
        Done,
        Failed,
    };

    /// @param term an unused term that this instance owns
    /// @param upstreams all upstreams of the group
    /// @param excluded upstreams that must not become primary, for example leaving ones
    /// @param majority the number of upstreams that form a majority
    /// @param now the current time
    Promotion(Term term, std::vector<UpstreamId> upstreams, std::vector<UpstreamId> excluded, std::size_t majority, TimePoint now);

    /// @returns the commands to send now; each is returned once
    std::vector<Command> takeCommands();

    /// @param status the upstream's response to the operation
    void onAnswer(const UpstreamId& upstream, Operation operation, const UpstreamStatus& status, TimePoint now);

    /// Records that no response arrived; the operation may or may not have taken effect.
    void onNoAnswer(const UpstreamId& upstream, Operation operation, TimePoint now);

    /// Handles timeouts. Call this every few milliseconds.
    void onTick(TimePoint now);

    /// @returns the state of the attempt
    State getState() const { return this->state; }

    /// @returns the term of this attempt
    Term getTerm() const { return this->term; }

    /// @returns the upstream that is being or was promoted; empty while fencing
    const UpstreamId& getTarget() const { return this->target; }

    /// @returns why the attempt failed; empty otherwise
    const std::string& getFailureReason() const { return this->failureReason; }

private:
    void chooseTarget(TimePoint now);
    void fail(std::string reason);
    bool isExcluded(const UpstreamId& upstream) const;

    Term term;
    std::vector<UpstreamId> upstreams;
    std::vector<UpstreamId> excluded;
    std::size_t majority;
    TimePoint startedAt;
    std::optional<TimePoint> majorityReachedAt;
    State state = State::Fencing;
    std::map<UpstreamId, UpstreamStatus> fenced;
    UpstreamId target;
    std::string failureReason;
    std::vector<Command> commands;
};

} // namespace lentiljunction
