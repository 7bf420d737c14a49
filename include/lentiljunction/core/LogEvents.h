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
    constexpr LogEvent storeBack { 211, LogLevel::Information, "store_back", "The platform's store answers again." };
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
    constexpr LogEvent gateOpened { 500, LogLevel::Information, "gate_opened", "This instance became the gate of an upstream." };
    constexpr LogEvent gateClosed { 501, LogLevel::Information, "gate_closed", "This instance is no longer the gate of an upstream." };
    constexpr LogEvent connectionDiscarded { 510, LogLevel::Warning, "connection_discarded", "A connection of unknown state was closed." };
    constexpr LogEvent upstreamLeaving { 511, LogLevel::Information, "upstream_leaving", "An upstream leaves and gets no new work." };
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
