#include "lentiljunction/routes/RelayedRoutes.h"

#include "lentiljunction/core/Json.h"
#include "lentiljunction/core/JsonFields.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace lentiljunction {

namespace {

    constexpr std::int64_t noLimit = std::numeric_limits<std::int64_t>::max();
    constexpr std::int64_t numConsistencies = 3;

    Duration getDuration(JsonFields& fields, const std::string& name)
    {
        return Duration(fields.getInteger(name, 0, longestMessageDuration));
    }

    /// Decodes the routes of one entry, which differ only in their databases.
    void decodeEntry(const nlohmann::json& object, const std::string& path, RouteTable& table, std::vector<std::string>& faults)
    {
        JsonFields fields(object, path, faults);
        Route route;
        std::vector<std::string> databases;
        if (object.is_object() && object.contains("databases"))
            databases = fields.getTexts("databases");
        else
            databases.push_back(fields.getText("database"));
        route.group = GroupId(fields.getText("group"));
        route.consistency = static_cast<Consistency>(fields.getInteger("consistency", 0, numConsistencies - 1));
        route.rank = allRanks[static_cast<std::size_t>(fields.getInteger("rank", 0, static_cast<std::int64_t>(allRanks.size()) - 1))];
        route.statementTimeout = getDuration(fields, "timeout_us");
        route.targetLatency = getDuration(fields, "target_us");
        route.maximumStaleness = getDuration(fields, "staleness_us");
        const nlohmann::json* isPublic = fields.findValue("public");
        if (isPublic != nullptr && !isPublic->is_boolean())
            fields.addFault("public", "must be true or false");
        else
            route.isPublic = isPublic != nullptr && isPublic->get<bool>();
        for (const std::string& database : databases) {
            route.database = DatabaseId(database);
            table.routes[route.database] = route;
        }
    }

    double findLimit(JsonFields& fields, const std::string& name)
    {
        const nlohmann::json* value = fields.findValue(name);
        if (value == nullptr)
            return std::numeric_limits<double>::infinity();
        if (value->is_number() && value->get<double>() >= 0)
            return value->get<double>();
        fields.addFault(name, "must be a number that is not negative");
        return 0;
    }

    WorkspaceConfig decodeWorkspace(const nlohmann::json& object, const std::string& path, std::vector<std::string>& faults)
    {
        JsonFields fields(object, path, faults);
        WorkspaceConfig workspace;
        workspace.name = WorkspaceId(fields.getText("name"));
        workspace.ratePerSecond = findLimit(fields, "rate_per_s");
        workspace.burst = findLimit(fields, "burst");
        for (const std::string& text : fields.getTexts("keys")) {
            std::optional<KeyDigest> digest = parseKeyDigest(text);
            if (digest)
                workspace.keys.insert(*digest);
            else
                fields.addFault("keys", "must be digests");
        }
        return workspace;
    }

    /// Decodes the list of workspaces, unless the configuration has none.
    void decodeWorkspaces(JsonFields& fields, RouteTable& table, std::vector<std::string>& faults)
    {
        const nlohmann::json* workspaces = fields.findValue("workspaces");
        if (workspaces == nullptr)
            return;
        if (!workspaces->is_array())
            return fields.addFault("workspaces", "must be an array");
        table.workspaces.emplace();
        for (std::size_t index = 0; index < workspaces->size(); index++) {
            std::string path = fields.pathOf("workspaces[" + std::to_string(index) + "]");
            WorkspaceConfig workspace = decodeWorkspace((*workspaces)[index], path, faults);
            if (table.workspaces->add(std::move(workspace)) != WorkspaceTable::Conflict::None)
                faults.push_back(path + ": the name or a key exists already");
        }
    }

    /// @returns a number of connections or replicas, or nothing
    std::optional<int> findCount(const nlohmann::json& value)
    {
        bool isNumber = value.is_number_integer() && value >= 0 && value <= std::numeric_limits<int>::max();
        return isNumber ? std::optional<int>(value.get<int>()) : std::nullopt;
    }

    void decodeGroups(JsonFields& fields, RouteTable& table)
    {
        const nlohmann::json& groups = fields.getValue("groups");
        if (!groups.is_object())
            return fields.addFault("groups", "must be an object");
        for (nlohmann::json::const_iterator group = groups.begin(); group != groups.end(); ++group) {
            std::optional<int> count = findCount(group.value());
            if (count)
                table.groups[GroupId(group.key())].maximumConnections = *count;
            else
                fields.addFault("groups." + group.key(), "must be a number of connections");
        }
        const nlohmann::json* replicas = fields.findValue("synchronous_replicas");
        if (replicas == nullptr)
            return;
        if (!replicas->is_object())
            return fields.addFault("synchronous_replicas", "must be an object");
        for (nlohmann::json::const_iterator group = replicas->begin(); group != replicas->end(); ++group) {
            std::optional<int> count = findCount(group.value());
            if (count)
                table.groups[GroupId(group.key())].numSynchronousReplicas = static_cast<std::size_t>(*count);
            else
                fields.addFault("synchronous_replicas." + group.key(), "must be a number of replicas");
        }
    }

    nlohmann::json encodeWorkspaces(const WorkspaceTable& table)
    {
        nlohmann::json workspaces = nlohmann::json::array();
        for (const std::pair<const WorkspaceId, WorkspaceConfig>& entry : table.getAll()) {
            nlohmann::json workspace { { "name", entry.first.toString() }, { "keys", nlohmann::json::array() } };
            for (const KeyDigest& key : entry.second.keys)
                workspace["keys"].push_back(key.toString());
            if (std::isfinite(entry.second.ratePerSecond))
                workspace["rate_per_s"] = entry.second.ratePerSecond;
            if (std::isfinite(entry.second.burst))
                workspace["burst"] = entry.second.burst;
            workspaces.push_back(std::move(workspace));
        }
        return workspaces;
    }

    std::int64_t findIndex(Rank rank)
    {
        return std::distance(allRanks.begin(), std::find(allRanks.begin(), allRanks.end(), rank));
    }

    nlohmann::json encodeSettings(const Route& route)
    {
        nlohmann::json settings {
            { "group", route.group.toString() },
            { "consistency", static_cast<std::int64_t>(route.consistency) },
            { "rank", findIndex(route.rank) },
            { "timeout_us", route.statementTimeout.count() },
            { "target_us", route.targetLatency.count() },
            { "staleness_us", route.maximumStaleness.count() },
        };
        if (route.isPublic)
            settings["public"] = true;
        return settings;
    }

    nlohmann::json listRoutes(const RouteTable& table)
    {
        nlohmann::json routes = nlohmann::json::array();
        for (const std::pair<const DatabaseId, Route>& entry : table.routes) {
            routes.push_back(encodeSettings(entry.second));
            routes.back()["database"] = entry.first.toString();
        }
        return routes;
    }

    nlohmann::json groupRoutes(const RouteTable& table)
    {
        using Settings = std::tuple<GroupId, Consistency, Rank, Duration, Duration, Duration, bool>;
        std::map<Settings, nlohmann::json> entries;
        for (const std::pair<const DatabaseId, Route>& entry : table.routes) {
            const Route& route = entry.second;
            nlohmann::json& encoded = entries[{ route.group, route.consistency, route.rank, route.statementTimeout, route.targetLatency, route.maximumStaleness, route.isPublic }];
            if (encoded.is_null())
                encoded = encodeSettings(route);
            encoded["databases"].push_back(entry.first.toString());
        }
        nlohmann::json routes = nlohmann::json::array();
        for (std::pair<const Settings, nlohmann::json>& entry : entries)
            routes.push_back(std::move(entry.second));
        return routes;
    }

    nlohmann::json encodeTable(const RouteTable& table, nlohmann::json routes)
    {
        nlohmann::json groups = nlohmann::json::object();
        nlohmann::json synchronousReplicas = nlohmann::json::object();
        for (const std::pair<const GroupId, GroupConfig>& group : table.groups) {
            groups[group.first.toString()] = group.second.maximumConnections;
            if (group.second.numSynchronousReplicas > 0)
                synchronousReplicas[group.first.toString()] = group.second.numSynchronousReplicas;
        }
        nlohmann::json document { { "version", table.version.value() }, { "routes", std::move(routes) }, { "groups", groups }, { "idle_limit_us", table.transactionIdleLimit.count() } };
        if (!synchronousReplicas.empty())
            document["synchronous_replicas"] = std::move(synchronousReplicas);
        if (table.workspaces)
            document["workspaces"] = encodeWorkspaces(*table.workspaces);
        return document;
    }

} // namespace

void RelayedFreshness::onFreshness(const RouteFreshness& freshness, BootTime requestedAt)
{
    BootTime confirmed = requestedAt - freshness.age;
    if (!this->confirmedAt || confirmed > *this->confirmedAt)
        this->confirmedAt = confirmed;
}

bool RelayedFreshness::isFresh(BootTime now) const
{
    return this->confirmedAt && now - *this->confirmedAt < this->lifetime;
}

std::optional<BootTime> RelayedFreshness::getExpiry() const
{
    return this->confirmedAt ? std::optional<BootTime>(*this->confirmedAt + this->lifetime) : std::nullopt;
}

nlohmann::json encodeRouteFreshness(const RouteFreshness& freshness)
{
    nlohmann::json encoded { { "version", freshness.version.value() }, { "age_us", freshness.age.count() } };
    if (freshness.confirmedTo != InstanceId())
        encoded["confirmed_to"] = freshness.confirmedTo.toString();
    return encoded;
}

std::optional<RouteFreshness> decodeRouteFreshness(const nlohmann::json& answer)
{
    if (!answer.is_object() || !answer.contains("routes"))
        return std::nullopt;
    std::vector<std::string> faults;
    JsonFields fields(answer["routes"], "routes", faults);
    RouteFreshness freshness { BundleVersion(static_cast<std::uint64_t>(fields.getInteger("version", 0, noLimit))), getDuration(fields, "age_us") };
    if (fields.findValue("confirmed_to") != nullptr)
        freshness.confirmedTo = InstanceId(fields.getText("confirmed_to"));
    return faults.empty() ? std::optional<RouteFreshness>(freshness) : std::nullopt;
}

nlohmann::json encodeRelayedRoutes(const RouteTable& table)
{
    return encodeTable(table, listRoutes(table));
}

nlohmann::json encodeGroupedRoutes(const RouteTable& table)
{
    return encodeTable(table, groupRoutes(table));
}

std::optional<RouteTable> decodeRelayedRoutes(const nlohmann::json& document, Failure& failure)
{
    std::vector<std::string> faults;
    JsonFields fields(document, "relayed routes", faults);
    RouteTable table;
    table.version = BundleVersion(static_cast<std::uint64_t>(fields.getInteger("version", 0, noLimit)));
    table.transactionIdleLimit = getDuration(fields, "idle_limit_us");
    const nlohmann::json& routes = fields.getValue("routes");
    if (!routes.is_array())
        fields.addFault("routes", "must be an array");
    else
        for (std::size_t index = 0; index < routes.size(); index++)
            decodeEntry(routes[index], fields.pathOf("routes[" + std::to_string(index) + "]"), table, faults);
    decodeGroups(fields, table);
    decodeWorkspaces(fields, table, faults);
    if (faults.empty())
        return table;
    failure.set(Failure::Kind::InvalidInput, joinFaults(faults));
    return std::nullopt;
}

} // namespace lentiljunction
