#pragma once

#include "DatabaseLog.h"
#include "FaultInjector.h"

#include <nlohmann/json.hpp>
#include <string>

namespace lentiljunction::standins {

/// The address of another member of the group.
struct ReplicaAddress {
    std::string zone;
    std::string host;
    int controlPort = 0;
};

/// Replicates the log to another member while this one is primary. Blocks until the process ends.
///
/// @param log this member's log
/// @param faults the injected faults
/// @param ownZone this member's zone
/// @param replica the receiving member
void shipLog(DatabaseLog& log, FaultInjector& faults, const std::string& ownZone, const ReplicaAddress& replica);

/// @returns the batch as sent to a replica
nlohmann::json toJson(const ReplicationBatch& batch);

/// @returns the parsed batch; throws nlohmann::json::exception when it is malformed
ReplicationBatch parseBatch(const nlohmann::json& document);

/// @returns the reply as sent to the primary
nlohmann::json toJson(const ReplicationReply& reply);

/// @returns the parsed reply; throws nlohmann::json::exception when it is malformed
ReplicationReply parseReply(const nlohmann::json& document);

} // namespace lentiljunction::standins
