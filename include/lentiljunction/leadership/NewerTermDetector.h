#pragma once

#include "lentiljunction/leadership/PrimaryView.h"

#include <map>
#include <optional>

namespace lentiljunction {

/// Detects that a group has moved to a term that the primary record does not name: a promotion took effect without the
/// record, so the primary in the record may have been replaced whatever the lease says.
///
/// Each term that an upstream reports counts, because a term never goes back. A term is known when the record names it, or
/// when the primary is confirmed to lead it.
///
/// Not thread-safe; the traffic thread owns it.
class NewerTermDetector {
public:
    /// What a reported term requires now.
    struct Action {
        /// The primary needs a verification.
        bool mustVerify = false;
        /// The coordination of failovers is to be told. Not set for terms of the primary itself, which may lead them, nor
        /// without a lease, when the record may merely be old.
        bool mustReport = false;
    };

    /// Records the term of an upstream's status, or of its log head.
    Action onTerm(const GroupId& group, const UpstreamId& upstream, Term term, const PrimaryView& view, BootTime now);

    /// Records the term that a primary leads, as all others confirm.
    void onLed(const GroupId& group, const PrimaryTenure& primary, Term term);

    /// @returns whether a primary that leads a later term than the record names may have written a log entry before it was
    ///     replaced and returned
    bool mayPredateReturn(const GroupId& group, const PrimaryTenure& primary, const LogPoint& written, const PrimaryView& view) const;

    /// @returns whether a term of the group was reported that is not known
    bool hasNewerTerm(const GroupId& group, const PrimaryView& view) const;

private:
    struct LedTerm {
        PrimaryTenure primary;
        Term term;
    };

    /// The greatest reported term of each group.
    std::map<GroupId, Term> greatest;
    std::map<GroupId, LedTerm> ledTerms;
    std::map<GroupId, BootTime> verificationsAt;
    std::map<GroupId, BootTime> reportsAt;
};

} // namespace lentiljunction
