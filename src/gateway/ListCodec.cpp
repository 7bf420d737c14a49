#include "ListCodec.h"

#include "lentiljunction/core/Json.h"
#include "lentiljunction/core/LogEvents.h"

#include <limits>
#include <stdexcept>

namespace lentiljunction {

namespace {

    nlohmann::json encodeEndpoint(const Endpoint& endpoint)
    {
        return { endpoint.host, endpoint.port };
    }

    /// @throws std::exception when the value is malformed
    Endpoint decodeEndpoint(const nlohmann::json& document)
    {
        return { document.at(0).get<std::string>(), getPort(document.at(1)) };
    }

    /// @throws std::exception when the value is malformed
    WallTime decodeTime(const nlohmann::json& document)
    {
        return WallTime(std::chrono::milliseconds(getNumber(document, static_cast<std::uint64_t>(latestUnixMilliseconds))));
    }

    UpstreamEntry decodeUpstream(const nlohmann::json& document)
    {
        UpstreamEntry entry;
        entry.id = UpstreamId(document.at("id").get<std::string>());
        entry.group = GroupId(document.at("group").get<std::string>());
        entry.endpoint = decodeEndpoint(document.at("endpoint"));
        entry.zone = ZoneId(document.at("zone").get<std::string>());
        entry.slots = static_cast<int>(getNumber(document.at("slots"), std::numeric_limits<int>::max()));
        entry.isLeaving = document.at("leaving").get<bool>();
        entry.claimsPrimary = document.at("claims_primary").get<bool>();
        if (document.contains("started_at_ms"))
            entry.startedAt = decodeTime(document["started_at_ms"]);
        if (entry.slots < 1)
            throw std::out_of_range("not a number of slots");
        return entry;
    }

    FleetMember decodeMember(const nlohmann::json& document)
    {
        FleetMember member { InstanceId(document.at("id").get<std::string>()), ZoneId(document.at("zone").get<std::string>()), decodeEndpoint(document.at("peers")) };
        if (document.contains("lending"))
            member.lending = decodeEndpoint(document["lending"]);
        if (document.contains("quota"))
            member.quota = decodeEndpoint(document["quota"]);
        if (document.contains("link_bps"))
            member.linkRate = BitRate(getNumber(document["link_bps"], std::numeric_limits<std::int64_t>::max()));
        return member;
    }

    /// Decodes the entries of a list. One that is malformed is logged and ignored, so that it does not hide the others.
    ///
    /// @returns nothing when the document is no list, or no entry of it can be decoded
    template <typename Entry>
    std::optional<std::vector<Entry>> decodeEntries(const nlohmann::json& document, Entry (*decode)(const nlohmann::json&))
    {
        if (!document.is_array())
            return std::nullopt;
        std::vector<Entry> entries;
        for (const nlohmann::json& entry : document) {
            try {
                entries.push_back(decode(entry));
            } catch (const std::exception& error) {
                logEvent(events::peerMessageInvalid, std::string("reason=\"an entry of a list cannot be read: ") + error.what() + "\"");
            }
        }
        bool isUnreadable = entries.empty() && !document.empty();
        return isUnreadable ? std::nullopt : std::optional<std::vector<Entry>>(std::move(entries));
    }

} // namespace

nlohmann::json encodeUpstreamList(const UpstreamList& list)
{
    nlohmann::json document = nlohmann::json::array();
    for (const std::pair<const UpstreamId, UpstreamEntry>& entry : list.entries) {
        document.push_back({
            { "id", entry.first.toString() },
            { "group", entry.second.group.toString() },
            { "endpoint", encodeEndpoint(entry.second.endpoint) },
            { "zone", entry.second.zone.toString() },
            { "slots", entry.second.slots },
            { "leaving", entry.second.isLeaving },
            { "claims_primary", entry.second.claimsPrimary },
        });
        if (entry.second.startedAt)
            document.back()["started_at_ms"] = static_cast<std::uint64_t>(toUnixMilliseconds(*entry.second.startedAt));
    }
    return document;
}

std::optional<UpstreamList> decodeUpstreamList(const nlohmann::json& document)
{
    std::optional<std::vector<UpstreamEntry>> entries = decodeEntries<UpstreamEntry>(document, decodeUpstream);
    if (!entries)
        return std::nullopt;
    UpstreamList list;
    for (const UpstreamEntry& entry : *entries)
        list.entries.emplace(entry.id, entry);
    return list;
}

nlohmann::json encodeMemberList(const std::vector<FleetMember>& members)
{
    nlohmann::json document = nlohmann::json::array();
    for (const FleetMember& member : members) {
        nlohmann::json entry { { "id", member.id.toString() }, { "zone", member.zone.toString() }, { "peers", encodeEndpoint(member.peers) } };
        if (member.lending)
            entry["lending"] = encodeEndpoint(*member.lending);
        if (member.quota)
            entry["quota"] = encodeEndpoint(*member.quota);
        if (member.linkRate != BitRate())
            entry["link_bps"] = member.linkRate.value();
        document.push_back(std::move(entry));
    }
    return document;
}

std::optional<std::vector<FleetMember>> decodeMemberList(const nlohmann::json& document)
{
    return decodeEntries<FleetMember>(document, decodeMember);
}

} // namespace lentiljunction
