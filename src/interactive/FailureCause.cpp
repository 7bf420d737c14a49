#include "lentiljunction/interactive/FailureCause.h"

#include <array>
#include <cstring>

namespace lentiljunction {

namespace {

    struct Description {
        FailureCause cause;
        const char* name;
        const char* forCaller;
        const char* forOperator;
    };

    constexpr std::array<Description, 13> descriptions { {
        { FailureCause::None, "none", "", "Nothing went wrong." },
        { FailureCause::NoPrimary, "no_primary", "no primary may be used",
            "Either the instance could not confirm who leads (events 411, 223), or the group's primary was being replaced (401 to 403, 413)." },
        { FailureCause::NoFreshData, "no_fresh_data", "no upstream has data that is proved fresh enough",
            "Proofs of age come from the primary: look for what kept the instance from it (411, 512), then for replicas that lag." },
        { FailureCause::WaitTooLong, "wait_too_long", "the wait would be too long",
            "The upstream was busy with work of the same or a more urgent rank: compare load by rank and upstream in the metrics." },
        { FailureCause::Unreachable, "unreachable", "the upstream cannot be reached",
            "Look for event 512 about the upstream on other instances: on all of them the upstream is down, on some the network is cut." },
        { FailureCause::BrokeBefore, "broke_before", "the connection broke before the statement was sent",
            "Nothing was sent. Look for a restart of the upstream (513) or a cut (512)." },
        { FailureCause::BrokeAfter, "broke_after", "the connection broke after the statement was sent",
            "The statement may have run. Look for a restart of the upstream (513), a cut (512) or a change of primary (402)." },
        { FailureCause::UpstreamAnswered, "upstream_answered", "the upstream answered",
            "The upstream refused and ran nothing; the reason names its answer." },
        { FailureCause::MayBeReplaced, "may_be_replaced", "the primary may have been replaced",
            "The answer came while the instance could not confirm who leads (411) or after a change began (410, 402)." },
        { FailureCause::NoAnswer, "no_answer", "no answer in time",
            "The upstream stayed silent for the statement's time. Look for event 512 and for a change of primary soon after." },
        { FailureCause::IdleTooLong, "idle_too_long", "the transaction was idle for too long",
            "The caller sent nothing for longer than the configured limit." },
        { FailureCause::NotAllowed, "not_allowed", "the statement is not allowed now",
            "The caller sent something that the state of its session does not allow; the reason says what." },
        { FailureCause::NoRoute, "no_route", "no route leads to the database",
            "Compare routes_version with the configuration that the operators wrote, and event 220." },
    } };

    const Description& find(FailureCause cause)
    {
        for (const Description& description : descriptions) {
            if (description.cause == cause)
                return description;
        }
        return descriptions.front();
    }

} // namespace

const char* toString(FailureCause cause)
{
    return find(cause).name;
}

FailureCause parseFailureCause(const char* name)
{
    for (const Description& description : descriptions) {
        if (std::strcmp(description.name, name) == 0)
            return description.cause;
    }
    return FailureCause::None;
}

const char* describe(FailureCause cause)
{
    return find(cause).forCaller;
}

const char* adviseOperator(FailureCause cause)
{
    return find(cause).forOperator;
}

} // namespace lentiljunction
