#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"
#include "lentiljunction/interactive/ReplicationStatus.h"
#include "lentiljunction/leadership/PrimaryRecord.h"
#include "lentiljunction/routes/UpstreamEntry.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lentiljunction {

/// Compares, for the failover coordinator, the roles that upstreams report with the primary record.
///
/// A promotion may take effect without an announcement that is in force: its call was late or carried out twice. And a
/// former primary whose demotion was lost goes on. Neither is reported by anyone, so each upstream that claims to be the
/// primary without being the recorded one is asked for its status, and so are all upstreams of a group in which a newer
/// term than the recorded one was seen. A recorded primary that does not claim to be the primary is asked as well: a demotion
/// may have reached it after it was confirmed as the primary again.
///
/// Only groups whose entry is stable and confirmed are checked. Performs no I/O: it returns what to ask and what to do.
///
/// Not thread-safe; the control thread owns it.
///
/// @code
/// for (const UpstreamId& upstream : monitor.listUpstreamsToAsk(record, list, clock.now()))
///     ask(upstream, [&](const ReplicationStatus& status) { act(monitor.onStatus(record, group, generation, upstream, status, now)); });
/// @endcode
class RoleMonitor {
public:
    /// What a status of an upstream requires.
    enum class Action {
        None,
        /// The upstream leads a newer term: the recorded primary was replaced without an announcement.
        ReplaceRecordedPrimary,
        /// The recorded primary has been a replica for some time, so the group has no primary.
        ReplaceDemotedPrimary,
        /// The upstream was replaced and does not know it.
        Demote,
        /// The upstream is primary in the term of the recorded primary, which must not happen.
        ReportConflict,
    };

    /// An upstream showed a term.
    void onTermSeen(const GroupId& group, Term term, TimePoint now);

    /// @returns the upstreams to ask for their status now; each one at most once a second
    std::vector<UpstreamId> listUpstreamsToAsk(const PrimaryRecord& record, const UpstreamList& list, TimePoint now);

    /// @param generation that of the group's entry when the status was requested
    /// @returns what to do, according to the newest record
    Action onStatus(const PrimaryRecord& record, const GroupId& group, std::uint64_t generation, const UpstreamId& upstream, const ReplicationStatus& status, TimePoint now);

    /// @returns whether a term is newer than that of the group's recorded primary, where the entry is stable and confirmed
    static bool isNewer(const PrimaryRecord& record, const GroupId& group, Term term);

private:
    struct SeenTerm {
        Term term;
        TimePoint seenAt;
    };

    /// A recorded primary that reports to be a replica.
    struct LostRole {
        std::uint64_t generation = 0;
        TimePoint firstSeenAt;
        TimePoint lastSeenAt;
    };

    Action onRecordedPrimary(const GroupId& group, std::uint64_t generation, bool isPrimary, TimePoint now);
    bool isNewerTermSeen(const PrimaryRecord& record, const GroupId& group, TimePoint now) const;

    /// The greatest term that was seen in each group, and when.
    std::map<GroupId, SeenTerm> seenTerms;
    std::map<UpstreamId, TimePoint> askedAt;
    std::map<GroupId, LostRole> lostRoles;
};

} // namespace lentiljunction
