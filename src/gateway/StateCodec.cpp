#include "StateCodec.h"

#include "lentiljunction/leadership/PrimaryRecordCodec.h"

namespace lentiljunction {

namespace {

    constexpr const char* requestField = "have";
    constexpr const char* sameRecordField = "same_record";

    nlohmann::json encodeVersion(const VersionedPrimaryRecord& versioned)
    {
        return { { "revision", versioned.revision.value() }, { "era", versioned.record->era.value() } };
    }

} // namespace

void encodeRecordRequest(const VersionedPrimaryRecord& latest, nlohmann::json& request)
{
    if (latest.record != nullptr)
        request[requestField] = encodeVersion(latest);
}

void encodeRecordResponse(const VersionedPrimaryRecord& latest, const nlohmann::json& request, nlohmann::json& response)
{
    nlohmann::json version = encodeVersion(latest);
    if (request.contains(requestField) && request[requestField] == version) {
        response[sameRecordField] = std::move(version);
        return;
    }
    response["record"] = encodePrimaryRecord(*latest.record);
    response["revision"] = latest.revision.value();
}

std::optional<VersionedPrimaryRecord> decodeRecordResponse(const nlohmann::json& response, const VersionedPrimaryRecord& had, Failure& failure)
{
    if (had.record != nullptr && response.contains(sameRecordField) && response[sameRecordField] == encodeVersion(had))
        return VersionedPrimaryRecord { had.record, had.revision, had.record->era };
    if (!response.contains("record") || !response.contains("revision")) {
        failure.set(Failure::Kind::NotFound, "no record");
        return std::nullopt;
    }
    std::optional<PrimaryRecord> record = decodePrimaryRecord(response["record"], failure);
    if (!record || !response["revision"].is_number_unsigned())
        return std::nullopt;
    StoreEra era = record->era;
    return VersionedPrimaryRecord { std::make_shared<PrimaryRecord>(std::move(*record)), StoreVersion(response["revision"].get<std::uint64_t>()), era };
}

} // namespace lentiljunction
