#include "lentiljunction/quota/QuotaMessage.h"

#include "lentiljunction/core/Cbor.h"
#include "lentiljunction/core/Json.h"
#include "lentiljunction/quota/QuotaLimit.h"

#include <stdexcept>

namespace lentiljunction {

namespace {

    using Kind = QuotaMessage::Kind;

    constexpr std::uint64_t allPartitions = (std::uint64_t(1) << numQuotaPartitions) - 1;
    /// No correct message exceeds it.
    constexpr std::uint64_t maximumInstances = 1000000;

    Duration decodeDuration(const nlohmann::json& value)
    {
        return Duration(static_cast<Duration::rep>(getNumber(value, static_cast<std::uint64_t>(longestMessageDuration))));
    }

    std::uint64_t toNumber(Duration duration)
    {
        return static_cast<std::uint64_t>(std::max<Duration::rep>(0, duration.count()));
    }

    void decodeHeartbeat(const nlohmann::json& encoded, QuotaMessage& message)
    {
        message.instance = InstanceId(encoded.at(1).get<std::string>());
        message.epoch = getNumber(encoded.at(2), UINT64_MAX);
        message.time = decodeDuration(encoded.at(3));
        message.numInstances = getNumber(encoded.at(4), maximumInstances);
        message.partitions = getNumber(encoded.at(5), allPartitions);
        message.credits = getNumber(encoded.at(6), allPartitions);
        if (message.instance.isEmpty() || (message.partitions != 0 && message.numInstances == 0))
            throw std::out_of_range("not a heartbeat");
    }

    QuotaMessage decode(const nlohmann::json& encoded)
    {
        QuotaMessage message;
        message.kind = static_cast<Kind>(getNumber(encoded.at(0), static_cast<std::uint64_t>(Kind::Stopping)));
        if (message.kind == Kind::Heartbeat)
            decodeHeartbeat(encoded, message);
        if (message.kind == Kind::Alive || message.kind == Kind::Stopping) {
            message.epoch = getNumber(encoded.at(1), UINT64_MAX);
            message.time = decodeDuration(encoded.at(2));
        }
        if (message.kind == Kind::Request || message.kind == Kind::Admitted || message.kind == Kind::Refused)
            message.request = getNumber(encoded.at(1), UINT64_MAX);
        if (message.kind == Kind::Request)
            message.workspace = WorkspaceId(encoded.at(2).get<std::string>());
        if (message.kind == Kind::Refused)
            message.retryAfter = decodeDuration(encoded.at(2));
        return message;
    }

} // namespace

std::string encodeQuotaMessage(const QuotaMessage& message)
{
    // An array without names: a coordinator handles hundreds of these messages a second.
    nlohmann::json encoded = nlohmann::json::array({ static_cast<std::uint64_t>(message.kind) });
    if (message.kind == Kind::Heartbeat) {
        encoded.push_back(message.instance.toString());
        for (std::uint64_t value : { message.epoch, toNumber(message.time), message.numInstances, message.partitions, message.credits })
            encoded.push_back(value);
    }
    if (message.kind == Kind::Alive || message.kind == Kind::Stopping) {
        encoded.push_back(message.epoch);
        encoded.push_back(toNumber(message.time));
    }
    if (message.kind == Kind::Request || message.kind == Kind::Admitted || message.kind == Kind::Refused)
        encoded.push_back(message.request);
    if (message.kind == Kind::Request)
        encoded.push_back(message.workspace.toString());
    if (message.kind == Kind::Refused)
        encoded.push_back(toNumber(message.retryAfter));
    return toCbor(encoded);
}

std::optional<QuotaMessage> decodeQuotaMessage(const std::string& bytes)
{
    nlohmann::json encoded = parseCbor(bytes);
    if (!encoded.is_array())
        return std::nullopt;
    try {
        return decode(encoded);
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace lentiljunction
