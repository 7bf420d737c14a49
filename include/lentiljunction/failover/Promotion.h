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
/// Fences a majority of the upstreams to the term, then promotes the one of them with the greatest
/// log head. A term is used for one upstream only: a lost answer is asked for again at the same
/// upstream, never at another.
///
/// Belongs to the control thread. Driven by events; returns commands for the owner to send.
///
/// @code
/// Promotion promotion(term, upstreams, leaving, majority, clock.now());
/// for (const Promotion::Command& command : promotion.takeCommands())
///     send(command);
/// @endcode
class Promotion {
public:
    /// What is asked of an upstream.
    enum class Operation {
        Fence,
        Promote,
    };

    /// One statement to send.
    struct Command {
        UpstreamId upstream;
        Operation operation = Operation::Fence;
        Term term;
    };

    /// Where the attempt stands.
    enum class State {
        Fencing,
        Promoting,
        Done,
        Failed,
    };

    /// @param term an unused term owned by this instance
    /// @param upstreams all upstreams of the group
    /// @param excluded upstreams that must not become primary, for example leaving ones
    /// @param majority how many upstreams make a majority
    /// @param now the current time
    Promotion(Term term, std::vector<UpstreamId> upstreams, std::vector<UpstreamId> excluded, std::size_t majority, TimePoint now);

    /// @returns the statements to send now; each is returned once
    std::vector<Command> takeCommands();

    /// @param status the upstream's answer to a fence or promote
    void onAnswer(const UpstreamId& upstream, Operation operation, const UpstreamStatus& status, TimePoint now);

    /// Notes that no answer came; whether the operation took effect is not known.
    void onNoAnswer(const UpstreamId& upstream, Operation operation, TimePoint now);

    /// Lets time pass; call it every few milliseconds.
    void onTick(TimePoint now);

    /// @returns where the attempt stands
    State getState() const { return this->state; }

    /// @returns the term of this attempt
    Term getTerm() const { return this->term; }

    /// @returns the upstream that is or becomes primary; empty while fencing
    const UpstreamId& getTarget() const { return this->target; }

    /// @returns why the attempt failed; empty otherwise
    const std::string& getFailureReason() const { return this->failureReason; }

private:
    void choose(TimePoint now);
    void fail(std::string reason);
    bool isExcluded(const UpstreamId& upstream) const;

    Term term;
    std::vector<UpstreamId> upstreams;
    std::vector<UpstreamId> excluded;
    std::size_t majority;
    TimePoint startedAt;
    std::optional<TimePoint> majorityAt;
    State state = State::Fencing;
    std::map<UpstreamId, UpstreamStatus> fenced;
    UpstreamId target;
    std::string failureReason;
    std::vector<Command> commands;
};

} // namespace lentiljunction
