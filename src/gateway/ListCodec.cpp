#include "ListCodec.h"

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
        std::uint64_t port = document.at(1).get<std::uint64_t>();
        if (!document.at(1).is_number_unsigned() || port > std::numeric_limits<std::uint16_t>::max())
            throw std::out_of_range("not a port");
        return { document.at(0).get<std::string>(), static_cast<std::uint16_t>(port) };
    }

    /// @throws std::exception when the value is malformed
    WallTime decodeTime(const nlohmann::json& document)
    {
        std::uint64_t milliseconds = document.get<std::uint64_t>();
        if (!document.is_number_unsigned() || milliseconds > static_cast<std::uint64_t>(latestUnixMilliseconds))
            throw std::out_of_range("not a time");
        return WallTime(std::chrono::milliseconds(milliseconds));
    }

    UpstreamEntry decodeUpstream(const nlohmann::json& document)
    {
        UpstreamEntry entry;
        entry.id = UpstreamId(document.at("id").get<std::string>());
        entry.group = GroupId(document.at("group").get<std::string>());
        entry.endpoint = decodeEndpoint(document.at("endpoint"));
        entry.zone = ZoneId(document.at("zone").get<std::string>());
        entry.slots = document.at("slots").get<int>();
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
        return member;
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
    if (!document.is_array())
        return std::nullopt;
    UpstreamList list;
    try {
        for (const nlohmann::json& entry : document) {
            UpstreamEntry decoded = decodeUpstream(entry);
            list.entries.emplace(decoded.id, decoded);
        }
    } catch (const std::exception&) {
        return std::nullopt;
    }
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
        document.push_back(std::move(entry));
    }
    return document;
}

std::optional<std::vector<FleetMember>> decodeMemberList(const nlohmann::json& document)
{
    if (!document.is_array())
        return std::nullopt;
    std::vector<FleetMember> members;
    try {
        for (const nlohmann::json& entry : document)
            members.push_back(decodeMember(entry));
    } catch (const std::exception&) {
        return std::nullopt;
    }
    return members;
}

} // namespace lentiljunction
