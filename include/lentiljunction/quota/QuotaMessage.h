#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"
#include "lentiljunction/workspaces/WorkspaceId.h"

#include <cstdint>
#include <optional>
#include <string>

namespace lentiljunction {

/// A message between a QuotaClient and a QuotaAccountant.
struct QuotaMessage {
    enum class Kind {
        /// Client: delegates its share of the listed partitions, or only asks for an answer.
        Heartbeat,
        /// Accountant: answers a heartbeat.
        Alive,
        /// Client: requests the admission of one operation.
        Request,
        Admitted,
        Refused,
        /// Accountant: it stops, and all delegations to it have ended.
        Stopping,
    };

    Kind kind = Kind::Heartbeat;
    /// The client, in a heartbeat.
    InstanceId instance;
    /// Identifies the accountant's process, in a heartbeat, its answer and Stopping. Zero when the client does not know it yet.
    std::uint64_t epoch = 0;
    /// A time on the accountant's boot clock. In a heartbeat: a time that is not later than that at which it was
    /// sent. In an answer: when it was sent.
    Duration time { 0 };
    /// The number of registered instances that the client knows; it delegates one part of as many.
    std::uint64_t numInstances = 0;
    /// One bit for each partition that the client delegates.
    std::uint64_t partitions = 0;
    /// One bit for each of these partitions for which the accountant may add initial tokens.
    std::uint64_t credits = 0;
    /// The number of a request, also in its answer.
    std::uint64_t request = 0;
    WorkspaceId workspace;
    Duration retryAfter { 0 };
};

/// @returns the message in CBOR
std::string encodeQuotaMessage(const QuotaMessage& message);

/// @returns nothing when the bytes are malformed or a value is out of range
std::optional<QuotaMessage> decodeQuotaMessage(const std::string& bytes);

} // namespace lentiljunction
