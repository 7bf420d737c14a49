#include "StoreDocuments.h"

#include "lentiljunction/core/Json.h"
#include "lentiljunction/core/JsonFields.h"
#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/core/Numbers.h"

namespace lentiljunction {

std::set<UpstreamId> parseUpstreamIds(const std::string& text)
{
    std::set<UpstreamId> ids;
    nlohmann::json document = parseJson(text);
    if (!document.is_array())
        return ids;
    for (const nlohmann::json& element : document) {
        if (element.is_string())
            ids.insert(UpstreamId(element.get<std::string>()));
    }
    return ids;
}

std::vector<SeedPeer> parseInstances(const std::string& text)
{
    std::vector<SeedPeer> peers;
    nlohmann::json document = parseJson(text);
    if (!document.is_array())
        return peers;
    for (const nlohmann::json& element : document) {
        std::vector<std::string> faults;
        JsonFields fields(element, "instance", faults);
        if (fields.findText("state").value_or("live") != "live")
            continue;
        constexpr std::int64_t maximumPort = 65535;
        Endpoint endpoint { fields.getText("address"), static_cast<std::uint16_t>(fields.getInteger("peer_port", 1, maximumPort)) };
        SeedPeer peer { InstanceId(fields.getText("id")), ZoneId(fields.getText("zone")), endpoint };
        // One malformed entry must not hide the others.
        if (faults.empty())
            peers.push_back(std::move(peer));
        else
            logEvent(events::entryInvalid, "kind=instances reason=\"" + joinFaults(faults) + "\"");
    }
    return peers;
}

std::optional<BundleVersion> parseBundleVersion(const std::string& text)
{
    std::optional<std::uint64_t> number = parseWholeNumber(text);
    if (!number)
        return std::nullopt;
    return BundleVersion(*number);
}

std::optional<SignedBundle> readBundle(PlatformStore& store, std::optional<BundleVersion> version, Failure& failure)
{
    if (!version) {
        std::optional<StoreObject> pointer = store.get(storekeys::currentBundle, failure);
        version = pointer ? parseBundleVersion(pointer->value) : std::nullopt;
    }
    if (!version)
        return std::nullopt;

    std::optional<StoreObject> object = store.get(storekeys::signedBundle(*version), failure);
    if (!object)
        return std::nullopt;
    return parseSignedBundle(parseJson(object->value), failure);
}

std::optional<TermRecord::Grant> reserveTerms(PlatformStore& store, const DatabaseId& database, Term above, const std::string& nonce)
{
    constexpr int maximumAttempts = 5;
    for (int attempt = 0; attempt < maximumAttempts; attempt++) {
        Failure failure;
        std::optional<StoreObject> object = store.get(storekeys::terms(database), failure);
        if (!object && failure.kind != Failure::Kind::NotFound)
            return std::nullopt;

        TermRecord record;
        if (object) {
            std::optional<TermRecord> parsed = parseTermRecord(parseJson(object->value));
            if (!parsed)
                return std::nullopt;
            record = *parsed;
        }
        std::optional<TermRecord::Grant> existing = record.find(nonce);
        if (existing)
            return existing;

        TermRecord::Grant grant = record.grant(nonce, above);
        StoreVersion expected = object ? object->version : StoreVersion();
        if (store.put(storekeys::terms(database), expected, toJsonText(toJson(record)), failure))
            return grant;
        if (failure.kind == Failure::Kind::Unavailable)
            return std::nullopt;
    }
    return std::nullopt;
}

} // namespace lentiljunction
