#pragma once

#include "DatabaseLog.h"
#include "FaultInjector.h"

#include <nlohmann/json.hpp>
#include <string>

namespace lentiljunction::standins {

/// Another member of the group.
struct ReplicaAddress {
    std::string zone;
    std::string host;
    int controlPort = 0;
};

/// Ships the log to one other member while this one is primary. Blocks until the process ends.
///
/// @param log this member's log
/// @param faults what goes wrong
/// @param ownZone this member's zone
/// @param replica the receiver
void shipLog(DatabaseLog& log, FaultInjector& faults, const std::string& ownZone, const ReplicaAddress& replica);

/// @returns the batch as sent
nlohmann::json toJson(const ReplicationBatch& batch);

/// @returns a batch read from JSON; throws nlohmann::json::exception when malformed
ReplicationBatch parseBatch(const nlohmann::json& document);

/// @returns the reply as sent
nlohmann::json toJson(const ReplicationReply& reply);

/// @returns a reply read from JSON; throws nlohmann::json::exception when malformed
ReplicationReply parseReply(const nlohmann::json& document);

} // namespace lentiljunction::standins
