#include "StoreDocuments.h"

#include "lentiljunction/core/Numbers.h"

namespace lentiljunction {

std::set<UpstreamId> parseUpstreamIds(const std::string& text)
{
    std::set<UpstreamId> ids;
    nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
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
    nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_array())
        return peers;
    for (const nlohmann::json& element : document) {
        if (!element.is_object() || element.value("state", "live") != "live")
            continue;
        Endpoint endpoint { element.value("address", ""), element.value("peer_port", std::uint16_t(0)) };
        peers.push_back({ InstanceId(element.value("id", "")), ZoneId(element.value("zone", "")), endpoint });
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
    return parseSignedBundle(nlohmann::json::parse(object->value, nullptr, false), failure);
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
            std::optional<TermRecord> parsed = parseTermRecord(nlohmann::json::parse(object->value, nullptr, false));
            if (!parsed)
                return std::nullopt;
            record = *parsed;
        }
        std::optional<TermRecord::Grant> existing = record.find(nonce);
        if (existing)
            return existing;

        TermRecord::Grant grant = record.grant(nonce, above);
        StoreVersion expected = object ? object->version : StoreVersion();
        if (store.put(storekeys::terms(database), expected, toJson(record).dump(), failure))
            return grant;
        if (failure.kind == Failure::Kind::Unavailable)
            return std::nullopt;
    }
    return std::nullopt;
}

} // namespace lentiljunction
