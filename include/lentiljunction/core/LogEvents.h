#pragma once

#include <string>
#include <vector>

namespace lentiljunction {

/// The severity of a log event.
enum class LogLevel {
    Information,
    Warning,
    Error,
};

/// A numbered log event. docs/EVENTS.md lists all events.
///
/// Numbers and names are part of the log format and do not change, even where an identifier does.
struct LogEvent {
    int number;
    LogLevel level;
    const char* name;
    const char* meaning;
};

/// All log events.
namespace events {

    constexpr LogEvent instanceStarting { 100, LogLevel::Information, "instance_starting", "The process read its settings and is starting." };
    constexpr LogEvent instanceReady { 101, LogLevel::Information, "instance_ready", "The instance has its configuration and accepts requests." };
    constexpr LogEvent instanceDraining { 102, LogLevel::Information, "instance_draining", "The instance was asked to stop; it accepts no new work and finishes the work in progress." };
    constexpr LogEvent instanceStopped { 103, LogLevel::Information, "instance_stopped", "No work is in progress and the process exits." };
    constexpr LogEvent settingsInvalid { 104, LogLevel::Error, "settings_invalid", "A setting is missing or out of range; the process does not start." };
    constexpr LogEvent portUnavailable { 105, LogLevel::Error, "port_unavailable", "A listening port cannot be opened. Another process may use it. A gateway instance tries it again; an instance of the product's own protocols ends." };
    constexpr LogEvent threadUnavailable { 111, LogLevel::Error, "thread_unavailable", "The system grants no thread: the limit on threads or on address space is reached. The start of the thread is tried again." };
    constexpr LogEvent processEnded { 120, LogLevel::Error, "process_ended", "The process ends; the cause is in the line." };
    constexpr LogEvent handlerFailed { 121, LogLevel::Error, "handler_failed", "A handler threw an exception; its connection was closed or its task given up, and the process continues." };
    constexpr LogEvent sessionsExhausted { 130, LogLevel::Warning, "sessions_exhausted", "A caller was refused at once because callers hold all file descriptors that they may hold." };
    constexpr LogEvent bundleInForce { 200, LogLevel::Information, "bundle_in_force", "A higher bundle version became active." };
    constexpr LogEvent bundleRefused { 201, LogLevel::Warning, "bundle_refused", "A bundle was rejected: it is invalid or not signed by enough operators." };
    constexpr LogEvent storeUnavailable { 210, LogLevel::Warning, "store_unavailable", "The platform's store does not respond; requests are still served." };
    constexpr LogEvent storeAvailable { 211, LogLevel::Information, "store_back", "The platform's store responds again." };
    constexpr LogEvent routesInForce { 220, LogLevel::Information, "routes_in_force", "A higher version of the routes became active; the line tells which one it replaces, where it came from, and for how long a newer one was known to exist." };
    constexpr LogEvent routesInvalid { 221, LogLevel::Warning, "routes_invalid", "The routes in the store are invalid; the active routes stay in use." };
    constexpr LogEvent entryInvalid { 222, LogLevel::Warning, "entry_invalid", "An entry in the store is invalid and is ignored." };
    constexpr LogEvent storeCallFailed { 223, LogLevel::Warning, "store_call_failed", "A call to the store was rejected or got no response." };
    constexpr LogEvent storeRestored { 224, LogLevel::Warning, "store_restored", "The platform's store was restored from an older copy: what was written to it shortly before is lost." };
    constexpr LogEvent routesPositionLost { 225, LogLevel::Warning, "routes_position_lost", "The watch of the routes cannot continue from its revision; the routes are read again." };
    constexpr LogEvent routesUnproven { 226, LogLevel::Warning, "routes_unproven", "Nothing has shown for too long that no newer version of the routes exists; the line tells when and to whom the store last confirmed the active one." };
    constexpr LogEvent routesProven { 227, LogLevel::Information, "routes_proven", "The active routes were confirmed as the newest ones again, or for the first time." };
    constexpr LogEvent routesBehind { 228, LogLevel::Warning, "routes_behind", "Another instance has a newer version of the routes, which is requested." };
    constexpr LogEvent routesNotReceived { 229, LogLevel::Warning, "routes_not_received", "Another instance did not send its routes." };
    constexpr LogEvent listOutdated { 230, LogLevel::Warning, "list_outdated", "The store returned a list of upstreams that lacks changes which it had shown before; the list is read again as of now." };
    constexpr LogEvent routesReceived { 231, LogLevel::Information, "routes_received", "A transfer of the routes from another instance is complete; the line tells its bytes, its time and what held it up." };
    constexpr LogEvent routesReadSlow { 232, LogLevel::Warning, "routes_read_slow", "A read of the routes from the store took long; the line tells its time and its bytes." };
    constexpr LogEvent peerQueueLong { 233, LogLevel::Warning, "peer_queue_long", "Much is queued on a link to another instance, behind which other responses wait." };
    constexpr LogEvent settingsReloaded { 106, LogLevel::Information, "settings_reloaded", "The settings were read again after a signal." };
    constexpr LogEvent portOpened { 110, LogLevel::Information, "port_opened", "A listening port that could not be opened at first is open." };
    constexpr LogEvent memberChanged { 300, LogLevel::Information, "member_changed", "The state of another instance changed." };
    constexpr LogEvent peerLinkOpened { 310, LogLevel::Information, "peer_link_opened", "A link to another instance is open." };
    constexpr LogEvent peerLinkLost { 311, LogLevel::Warning, "peer_link_lost", "A link to another instance was closed or timed out." };
    constexpr LogEvent peerMessageInvalid { 312, LogLevel::Warning, "peer_message_invalid", "Another instance sent a malformed message, which was ignored." };
    constexpr LogEvent termsReserved { 400, LogLevel::Information, "terms_reserved", "The store granted this instance a block of terms." };
    constexpr LogEvent primarySuspected { 401, LogLevel::Warning, "primary_suspected", "A primary may have failed; other instances are asked whether they reach it." };
    constexpr LogEvent promotionStarted { 402, LogLevel::Warning, "promotion_started", "This instance starts to replace the primary of a group." };
    constexpr LogEvent promotionDone { 403, LogLevel::Information, "promotion_done", "An upstream was promoted." };
    constexpr LogEvent promotionFailed { 404, LogLevel::Warning, "promotion_failed", "An attempt to promote an upstream failed; the promotion is retried." };
    constexpr LogEvent primaryChanged { 405, LogLevel::Information, "primary_changed", "A new primary is known." };
    constexpr LogEvent primaryRecordUpdated { 410, LogLevel::Information, "lead_believed", "A newer version of the primary record is in use at this instance." };
    constexpr LogEvent leaseLost { 411, LogLevel::Warning, "permit_lost", "The lease on the primary record expired because the record was not confirmed in time; this instance does not use primaries." };
    constexpr LogEvent leaseRegained { 412, LogLevel::Information, "permit_regained", "This instance has a valid lease on the primary record and uses primaries." };
    constexpr LogEvent failoverStep { 413, LogLevel::Information, "failover_step", "The replacement of a primary reached its next step." };
    constexpr LogEvent failoverAbandoned { 414, LogLevel::Warning, "failover_abandoned", "This instance stopped replacing a primary because another instance is the failover coordinator." };
    constexpr LogEvent instanceReturned { 415, LogLevel::Information, "instance_returned", "This instance was marked as retired or absent in the primary record and requested the removal of that mark." };
    constexpr LogEvent primaryRecordOutdated { 416, LogLevel::Warning, "lead_outdated", "The store returned a primary record from before it was restored, or none; it grants no lease until it is recovered." };
    constexpr LogEvent primaryRecordRecovered { 417, LogLevel::Information, "lead_recovered", "This instance wrote the newest primary record that it knows to the restored store, unless another one had." };
    constexpr LogEvent commitsUnproved { 419, LogLevel::Warning, "commits_unproved", "A primary is replaced although an upstream that may hold acknowledged commits of the group did not respond for too long." };
    constexpr LogEvent primaryConfirmed { 418, LogLevel::Information, "primary_confirmed", "The upstreams of a group were asked for its primary after the store was restored." };
    constexpr LogEvent promotionCallSent { 420, LogLevel::Warning, "promotion_call_sent", "A promotion call is being sent. It is in doubt until its outcome is logged, and may take effect later." };
    constexpr LogEvent promotionCallEnded { 421, LogLevel::Warning, "promotion_call_ended", "The outcome of a promotion call: accepted, refused, another response, no response, or not sent." };
    constexpr LogEvent promotionCallInherited { 422, LogLevel::Warning, "promotion_call_inherited", "A failover starts or resumes while the primary record lists earlier promotion calls that may still take effect." };
    constexpr LogEvent promotionUnrequested { 423, LogLevel::Warning, "promotion_unrequested", "An upstream reports to be the primary in a newer term although this instance did not call it in the present failover." };
    constexpr LogEvent primaryReplaceable { 424, LogLevel::Warning, "primary_replaceable", "An earlier promotion call may still replace the primary of a group; the lease does not cover the group." };
    constexpr LogEvent primarySettled { 425, LogLevel::Information, "primary_settled", "No earlier promotion call can replace the primary of a group any more." };
    constexpr LogEvent newerTermSeen { 426, LogLevel::Warning, "newer_term", "An upstream shows a newer term than that of the recorded primary: a promotion took effect that is not in the record." };
    constexpr LogEvent formerPrimaryFound { 427, LogLevel::Warning, "former_primary", "An upstream that is not the recorded primary reports to be primary in no newer term; it is demoted if its term is older." };
    constexpr LogEvent primaryDemoted { 428, LogLevel::Warning, "primary_demoted", "The recorded primary reports to be a replica, and no other upstream is known to lead the group; it is replaced." };
    constexpr LogEvent promotionUnproved { 429, LogLevel::Warning, "promotion_unproved", "A promotion call is no longer waited for although an upstream that it may have promoted did not respond for too long." };
    constexpr LogEvent groupsRegistered { 430, LogLevel::Information, "groups_registered", "First primaries or log holders were added to the primary record." };
    constexpr LogEvent logHoldersRemoved { 431, LogLevel::Information, "log_holders_removed", "Upstreams that are gone were removed from those whose logs a failover waits for; the others have received what they may hold." };
    constexpr LogEvent instanceUnregistered { 432, LogLevel::Information, "instance_unregistered", "A draining instance removed its registration, or could not." };
    constexpr LogEvent rollCalled { 433, LogLevel::Warning, "roll_called", "Instances that do not respond were listed as absent in the primary record; those that do not remove themselves are no longer counted in votes." };
    constexpr LogEvent replyGivenUp { 434, LogLevel::Warning, "reply_given_up", "The longest reply that was being received was given up, since all that callers hold exceeds the memory for it." };
    constexpr LogEvent gateOpened { 500, LogLevel::Information, "gate_opened", "This instance became the gate of an upstream." };
    constexpr LogEvent gateClosed { 501, LogLevel::Information, "gate_closed", "This instance is no longer the gate of an upstream." };
    constexpr LogEvent connectionDiscarded { 510, LogLevel::Warning, "connection_discarded", "A connection in an unknown state was closed." };
    constexpr LogEvent upstreamLeaving { 511, LogLevel::Information, "upstream_leaving", "An upstream is leaving and gets no new work." };
    constexpr LogEvent upstreamUnreachable { 512, LogLevel::Warning, "upstream_unreachable", "A connection to an upstream could not be opened." };
    constexpr LogEvent upstreamListed { 513, LogLevel::Information, "upstream_listed", "An upstream was added or removed, or its role or state changed." };
    constexpr LogEvent upstreamFull { 514, LogLevel::Information, "upstream_full", "An upstream accepts no further connections; statements wait for an open connection." };
    constexpr LogEvent upstreamReachable { 515, LogLevel::Information, "upstream_reachable", "An upstream that was unreachable can be reached again." };
    constexpr LogEvent lenderSilent { 516, LogLevel::Warning, "lender_silent", "An instance that lends connections did not respond in time; another one is asked for a while." };
    constexpr LogEvent loanOfOtherWorkspace { 517, LogLevel::Warning, "loan_of_other_workspace", "An instance lent a connection of another workspace; it was not used." };
    constexpr LogEvent statementRefused { 520, LogLevel::Warning, "statement_refused", "A statement was refused; it has no effect." };
    constexpr LogEvent statementFailed { 521, LogLevel::Warning, "statement_failed", "A statement ran and failed, or it may have run." };
    constexpr LogEvent statementServed { 522, LogLevel::Information, "statement_served", "A statement or the end of a transaction succeeded." };
    constexpr LogEvent statementRetried { 523, LogLevel::Information, "statement_retried", "A statement that did not run is sent to an upstream again." };
    constexpr LogEvent sessionRefused { 524, LogLevel::Warning, "session_refused", "A session was not opened, or its caller sent malformed data." };
    constexpr LogEvent linesOmitted { 530, LogLevel::Warning, "lines_omitted", "Log lines were omitted to limit the log volume." };
    constexpr LogEvent keyRefused { 540, LogLevel::Warning, "key_refused", "The key of a caller was not accepted; its statements are not run." };
    constexpr LogEvent quotaCoordinatorLost { 550, LogLevel::Warning, "quota_coordinator_lost", "The instance that decides on the limits of workspaces does not respond or stops; another one is used once the share of this instance is free." };
    constexpr LogEvent quotaCoordinatorChanged { 551, LogLevel::Information, "quota_coordinator_changed", "The share of this instance in the limits of workspaces goes to another instance." };
    constexpr LogEvent quotaMessageInvalid { 552, LogLevel::Warning, "quota_message_invalid", "A message about the limits of workspaces is malformed and is ignored." };
    constexpr LogEvent upstreamEjected { 560, LogLevel::Warning, "upstream_ejected", "An upstream fails much of its work; it is the last choice for reads for a while." };
    constexpr LogEvent upstreamRestored { 561, LogLevel::Information, "upstream_restored", "An ejected upstream served its probes and is used again." };
    constexpr LogEvent capacityChanged { 562, LogLevel::Information, "capacity_changed", "The discovered number of concurrent statements of an upstream changed by half or more." };
    constexpr LogEvent auditWriteFailed { 600, LogLevel::Warning, "audit_write_failed", "Audit records could not be written to the store; they are kept and written later." };

} // namespace events

/// @returns all events, ordered by number
const std::vector<LogEvent>& getAllLogEvents();

/// Which lines of an event are omitted first.
enum class LinePriority {
    Normal,
    /// The line uses at most half of its event's limit, so that other lines of the event find room.
    Low,
};

/// Writes a structured log line: time, level, event number, event name and the detail.
///
/// Lines above the limit of an event per second are omitted; the event lines_omitted counts them.
/// Safe to call from any thread.
///
/// @param event one of lentiljunction::events
/// @param detail "key=value" pairs separated by spaces
/// @param priority whether other lines of the event matter more
void logEvent(const LogEvent& event, const std::string& detail, LinePriority priority = LinePriority::Normal);

/// Configures the log. Call it once, before any thread starts.
///
/// @param instance the instance's id, written in every line
void initialiseLog(const std::string& instance);

} // namespace lentiljunction
