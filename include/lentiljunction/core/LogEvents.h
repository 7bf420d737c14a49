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

/// A numbered log event. docs/EVENTS.md lists every one.
struct LogEvent {
    int number;
    LogLevel level;
    const char* name;
    const char* meaning;
};

/// The catalogue of log events.
namespace events {

    constexpr LogEvent instanceStarting { 100, LogLevel::Information, "instance_starting", "The process read its settings and starts." };
    constexpr LogEvent instanceReady { 101, LogLevel::Information, "instance_ready", "The instance has a bundle and takes requests." };
    constexpr LogEvent instanceDraining { 102, LogLevel::Information, "instance_draining", "A stop was asked for; no new work is taken." };
    constexpr LogEvent instanceStopped { 103, LogLevel::Information, "instance_stopped", "Nothing is in flight and the process ends." };
    constexpr LogEvent settingsInvalid { 104, LogLevel::Error, "settings_invalid", "A setting is missing or out of range; the process does not start." };
    constexpr LogEvent portUnavailable { 105, LogLevel::Error, "port_unavailable", "A listening port cannot be opened; the process does not start." };
    constexpr LogEvent bundleInForce { 200, LogLevel::Information, "bundle_in_force", "A higher bundle version took effect." };
    constexpr LogEvent bundleRefused { 201, LogLevel::Warning, "bundle_refused", "A bundle was not valid or not signed by enough operators." };
    constexpr LogEvent storeUnavailable { 210, LogLevel::Warning, "store_unavailable", "The platform's store does not answer; service goes on." };
    constexpr LogEvent storeAvailable { 211, LogLevel::Information, "store_back", "The platform's store answers again." };
    constexpr LogEvent routesInForce { 220, LogLevel::Information, "routes_in_force", "A higher version of the routes took effect." };
    constexpr LogEvent routesInvalid { 221, LogLevel::Warning, "routes_invalid", "Routes in the store cannot be read; those in force stay." };
    constexpr LogEvent entryInvalid { 222, LogLevel::Warning, "entry_invalid", "An entry of the store cannot be read and is left out." };
    constexpr LogEvent storeCallFailed { 223, LogLevel::Warning, "store_call_failed", "A call to the store was refused or not answered." };
    constexpr LogEvent settingsReloaded { 106, LogLevel::Information, "settings_reloaded", "A signal asked for it; the settings were read again." };
    constexpr LogEvent memberChanged { 300, LogLevel::Information, "member_changed", "The state of another instance changed." };
    constexpr LogEvent peerLinkOpened { 310, LogLevel::Information, "peer_link_opened", "A link to another instance is open." };
    constexpr LogEvent peerLinkLost { 311, LogLevel::Warning, "peer_link_lost", "A link to another instance broke or went silent." };
    constexpr LogEvent peerMessageInvalid { 312, LogLevel::Warning, "peer_message_invalid", "Another instance sent a message that cannot be read." };
    constexpr LogEvent termsReserved { 400, LogLevel::Information, "terms_reserved", "The store gave this instance a block of terms." };
    constexpr LogEvent primarySuspected { 401, LogLevel::Warning, "primary_suspected", "Probes of a primary fail; other gates are asked." };
    constexpr LogEvent promotionStarted { 402, LogLevel::Warning, "promotion_started", "This instance replaces a failed primary." };
    constexpr LogEvent promotionDone { 403, LogLevel::Information, "promotion_done", "An upstream was promoted." };
    constexpr LogEvent promotionFailed { 404, LogLevel::Warning, "promotion_failed", "A promotion did not succeed; it is tried again." };
    constexpr LogEvent primaryChanged { 405, LogLevel::Information, "primary_changed", "A new primary was seen." };
    constexpr LogEvent primaryRecordUpdated { 410, LogLevel::Information, "lead_believed", "A newer record of who leads the groups is in force here." };
    constexpr LogEvent leaseLost { 411, LogLevel::Warning, "permit_lost", "Who leads could not be confirmed in time; primaries are not used." };
    constexpr LogEvent leaseRegained { 412, LogLevel::Information, "permit_regained", "Who leads is confirmed again." };
    constexpr LogEvent failoverStep { 413, LogLevel::Information, "failover_step", "The replacement of a primary reached another step." };
    constexpr LogEvent failoverAbandoned { 414, LogLevel::Warning, "failover_abandoned", "Another instance holds the duty to replace primaries." };
    constexpr LogEvent instanceReturned { 415, LogLevel::Information, "instance_returned", "This instance had been silent and asks for permits again." };
    constexpr LogEvent gateOpened { 500, LogLevel::Information, "gate_opened", "This instance became the gate of an upstream." };
    constexpr LogEvent gateClosed { 501, LogLevel::Information, "gate_closed", "This instance is no longer the gate of an upstream." };
    constexpr LogEvent connectionDiscarded { 510, LogLevel::Warning, "connection_discarded", "A connection of unknown state was closed." };
    constexpr LogEvent upstreamLeaving { 511, LogLevel::Information, "upstream_leaving", "An upstream leaves and gets no new work." };
    constexpr LogEvent upstreamUnreachable { 512, LogLevel::Warning, "upstream_unreachable", "A fresh connection to an upstream could not be opened." };
    constexpr LogEvent upstreamListed { 513, LogLevel::Information, "upstream_listed", "An upstream appeared, changed its role or state, or is gone." };
    constexpr LogEvent upstreamFull { 514, LogLevel::Information, "upstream_full", "An upstream accepts no further connection; claims wait for one that is open." };
    constexpr LogEvent upstreamReachable { 515, LogLevel::Information, "upstream_reachable", "An upstream that could not be reached can be again." };
    constexpr LogEvent statementRefused { 520, LogLevel::Warning, "statement_refused", "A statement was refused; nothing of it is kept." };
    constexpr LogEvent statementFailed { 521, LogLevel::Warning, "statement_failed", "A statement ran and failed, or may have run." };
    constexpr LogEvent statementServed { 522, LogLevel::Information, "statement_served", "A statement or the end of a transaction succeeded." };
    constexpr LogEvent statementRetried { 523, LogLevel::Information, "statement_retried", "A statement that did not run goes to an upstream again." };
    constexpr LogEvent sessionRefused { 524, LogLevel::Warning, "session_refused", "A session was not opened, or its bytes cannot be read." };
    constexpr LogEvent linesOmitted { 530, LogLevel::Warning, "lines_omitted", "Lines of an event were left out to bound the volume." };
    constexpr LogEvent auditWriteFailed { 600, LogLevel::Warning, "audit_write_failed", "Audit records wait because the store did not take them." };

} // namespace events

/// @returns every event of the catalogue, by number
const std::vector<LogEvent>& getAllLogEvents();

/// Writes one structured log line: time, level, event number, event name and the detail.
///
/// Safe to call from any thread.
///
/// @param event an event of the catalogue
/// @param detail "key=value" pairs separated by spaces
void logEvent(const LogEvent& event, const std::string& detail);

/// Sets up the log once, before any thread starts.
///
/// @param instance written with every line
void initialiseLog(const std::string& instance);

} // namespace lentiljunction
