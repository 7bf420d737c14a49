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

    constexpr std::array<Description, 18> descriptions { {
        { FailureCause::None, "none", "", "The statement did not fail." },
        { FailureCause::NoPrimary, "no_primary", "no primary may be used",
            "Either the instance could not confirm who leads (events 411, 223), or the group's primary was being replaced (401 to 403, 413)." },
        { FailureCause::NoFreshData, "no_fresh_data", "no upstream is proved to have data that is fresh enough",
            "Freshness proofs come from the primary: check why the instance could not reach it (411, 512), then check for lagging replicas." },
        { FailureCause::WaitTooLong, "wait_too_long", "the wait would be too long",
            "The upstream was busy with statements of the same or a more urgent rank: compare the load by rank and upstream in the metrics." },
        { FailureCause::Unreachable, "unreachable", "the upstream cannot be reached",
            "Check other instances for event 512 about the upstream: if all have it, the upstream is down; if only some have it, the network is partitioned." },
        { FailureCause::ConnectionLostBeforeSend, "broke_before", "the connection broke before the statement was sent",
            "The statement was not sent. Look for a restart of the upstream (513) or a network failure (512)." },
        { FailureCause::ConnectionLostAfterSend, "broke_after", "the connection broke after the statement was sent",
            "The statement may have run. Look for a restart of the upstream (513), a network failure (512) or a change of primary (402)." },
        { FailureCause::RefusedByUpstream, "upstream_answered", "the upstream answered",
            "The upstream refused the statement and did not run it; the reason contains its reply code." },
        { FailureCause::MayBeReplaced, "may_be_replaced", "the primary may have been replaced",
            "The reply arrived while the instance could not confirm the primary (411) or after a change of primary began (410, 402)." },
        { FailureCause::NoAnswer, "no_answer", "no answer in time",
            "The upstream did not reply before the deadline. Look for event 512 and for a change of primary soon after." },
        { FailureCause::IdleTooLong, "idle_too_long", "the transaction was idle for too long",
            "The caller sent no statement for longer than the configured idle limit." },
        { FailureCause::NotAllowed, "not_allowed", "the statement is not allowed now",
            "The caller sent a statement that the state of its session does not allow; see the reason." },
        { FailureCause::NoRoute, "no_route", "no route leads to the database",
            "Compare routes_version with the version that the operators published, and look for event 220." },
        { FailureCause::KeyUnknown, "key_unknown", "no workspace holds the key",
            "Look for event 540: compare its digest with that of the caller's key and its routes_version with the version that the operators published." },
        { FailureCause::KeyUnconfirmed, "key_unconfirmed", "the configuration is not confirmed as current",
            "The instance could not confirm its configuration with the store or another instance: look for events 223 and 311." },
        { FailureCause::OverLimit, "over_limit", "the workspace is over its limit",
            "The workspace sent more operations than its limit in the routing configuration allows: compare lentiljunction_quota_refused at all instances." },
        { FailureCause::LimitUndecided, "limit_undecided", "the limit of the workspace could not be checked in time",
            "The instance that decides on the limit did not respond: look for events 550 and 551." },
        { FailureCause::NoMemory, "no_memory", "the instance has no memory for the statement",
            "Statements that wait or run held the memory that callers may hold: look for event 524 with held=." },
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
