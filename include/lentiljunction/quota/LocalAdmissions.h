#pragma once

#include "lentiljunction/quota/QuotaLimit.h"

#include <deque>
#include <map>
#include <optional>

namespace lentiljunction {

/// Decisions on operations that an instance can make without its coordinator: recent refusals, and admissions of
/// operations that did not run.
class LocalAdmissions {
public:
    /// @returns a decision for the next operation of a workspace; an admission is returned once
    std::optional<QuotaDecision> take(const WorkspaceId& workspace, BootTime now);

    /// Keeps a refusal of a coordinator for a short time, so that a workspace far over its limit causes few messages.
    void addRefusal(const WorkspaceId& workspace, Duration retryAfter, BootTime now);

    /// Keeps the admission of an operation that did not run.
    void addSpare(const WorkspaceId& workspace, BootTime now);

    void clear();

private:
    struct Refusal {
        BootTime validUntil;
        BootTime retryAt;
    };

    bool takeSpare(const WorkspaceId& workspace, BootTime now);

    std::map<WorkspaceId, Refusal> refusals;
    /// When the admissions become invalid.
    std::map<WorkspaceId, std::deque<BootTime>> spares;
};

} // namespace lentiljunction
