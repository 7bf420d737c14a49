#include "lentiljunction/routes/RouteDelta.h"

#include "lentiljunction/core/JsonFields.h"
#include "lentiljunction/core/RendezvousHash.h"
#include "lentiljunction/routes/RelayedRoutes.h"

#include <cstdint>
#include <limits>

namespace lentiljunction {

namespace {

    constexpr const char* deltaField = "delta";

    bool isSame(const Route& left, const Route& right)
    {
        return left.group == right.group && left.consistency == right.consistency && left.rank == right.rank && left.statementTimeout == right.statementTimeout
            && left.targetLatency == right.targetLatency && left.maximumStaleness == right.maximumStaleness && left.isPublic == right.isPublic;
    }

    bool isSame(const GroupConfig& left, const GroupConfig& right)
    {
        return left.maximumConnections == right.maximumConnections && left.numSynchronousReplicas == right.numSynchronousReplicas;
    }

    bool isSame(const WorkspaceConfig& left, const WorkspaceConfig& right)
    {
        return left.keys == right.keys && left.ratePerSecond == right.ratePerSecond && left.burst == right.burst;
    }

    const std::map<WorkspaceId, WorkspaceConfig>& getWorkspaces(const RouteTable& table)
    {
        static const std::map<WorkspaceId, WorkspaceConfig> none;
        return table.workspaces ? table.workspaces->getAll() : none;
    }

    /// Collects the entries of `newer` that `older` lacks or has otherwise, and the names of those that `newer` lacks.
    template <typename Id, typename Entry>
    std::map<Id, Entry> compare(const std::map<Id, Entry>& older, const std::map<Id, Entry>& newer, std::set<Id>& removed)
    {
        std::map<Id, Entry> changed;
        for (const std::pair<const Id, Entry>& entry : newer) {
            typename std::map<Id, Entry>::const_iterator previous = older.find(entry.first);
            if (previous == older.end() || !isSame(previous->second, entry.second))
                changed.insert(entry);
        }
        for (const std::pair<const Id, Entry>& entry : older) {
            if (newer.count(entry.first) == 0)
                removed.insert(entry.first);
        }
        return changed;
    }

    /// Applies changes of entries: to a configuration, or to the changes before them.
    template <typename Id, typename Entry>
    void update(std::map<Id, Entry>& entries, const std::map<Id, Entry>& changed, const std::set<Id>& removed)
    {
        for (const Id& id : removed)
            entries.erase(id);
        for (const std::pair<const Id, Entry>& entry : changed)
            entries[entry.first] = entry.second;
    }

    /// @returns the names that two changes in succession remove
    template <typename Id, typename Entry>
    std::set<Id> mergeRemoved(const std::set<Id>& first, const std::set<Id>& second, const std::map<Id, Entry>& changedLater)
    {
        std::set<Id> removed = second;
        for (const Id& id : first) {
            if (changedLater.count(id) == 0)
                removed.insert(id);
        }
        return removed;
    }

    /// @returns nothing when two workspaces hold the same key
    std::optional<WorkspaceTable> makeWorkspaceTable(const std::map<WorkspaceId, WorkspaceConfig>& workspaces)
    {
        WorkspaceTable table;
        for (const std::pair<const WorkspaceId, WorkspaceConfig>& workspace : workspaces) {
            if (table.add(workspace.second) != WorkspaceTable::Conflict::None)
                return std::nullopt;
        }
        return table;
    }

    template <typename Id>
    nlohmann::json encodeNames(const std::set<Id>& names)
    {
        nlohmann::json encoded = nlohmann::json::array();
        for (const Id& name : names)
            encoded.push_back(name.toString());
        return encoded;
    }

    template <typename Id>
    std::set<Id> decodeNames(JsonFields& fields, const std::string& name)
    {
        std::set<Id> names;
        for (const std::string& text : fields.getTexts(name))
            names.insert(Id(text));
        return names;
    }

    /// Combines the parts of a configuration in their order.
    class DigestBuilder {
    public:
        void add(const std::string& text) { this->hash = combineHashes(this->hash, stableHash(text)); }
        RouteTableDigest getDigest() const { return RouteTableDigest(this->hash); }

    private:
        std::uint64_t hash = 0;
    };

    std::string describe(const Route& route)
    {
        std::string text = route.database.toString() + '\n' + route.group.toString();
        for (std::int64_t number : { static_cast<std::int64_t>(route.consistency), static_cast<std::int64_t>(route.rank), route.statementTimeout.count(), route.targetLatency.count(), route.maximumStaleness.count(), static_cast<std::int64_t>(route.isPublic) })
            text += '\n' + std::to_string(number);
        return text;
    }

    std::string describe(const WorkspaceConfig& workspace)
    {
        std::string text = workspace.name.toString() + '\n' + std::to_string(workspace.ratePerSecond) + '\n' + std::to_string(workspace.burst);
        for (const KeyDigest& key : workspace.keys)
            text += '\n' + key.toString();
        return text;
    }

} // namespace

RouteTableDigest computeRouteTableDigest(const RouteTable& table)
{
    DigestBuilder builder;
    builder.add(std::to_string(table.version.value()) + '\n' + std::to_string(table.transactionIdleLimit.count()) + '\n' + std::to_string(table.workspaces.has_value()));
    for (const std::pair<const DatabaseId, Route>& route : table.routes)
        builder.add(describe(route.second));
    for (const std::pair<const GroupId, GroupConfig>& group : table.groups)
        builder.add(group.first.toString() + '\n' + std::to_string(group.second.maximumConnections) + '\n' + std::to_string(group.second.numSynchronousReplicas));
    for (const std::pair<const WorkspaceId, WorkspaceConfig>& workspace : getWorkspaces(table))
        builder.add(describe(workspace.second));
    return builder.getDigest();
}

std::size_t RouteDelta::countEntries() const
{
    return this->changed.routes.size() + this->changed.groups.size() + getWorkspaces(this->changed).size() + this->removedRoutes.size() + this->removedGroups.size() + this->removedWorkspaces.size();
}

RouteDelta computeRouteDelta(const RouteTable& older, const RouteTable& newer, RouteTableDigest digest)
{
    RouteDelta delta;
    delta.from = older.version;
    delta.digest = digest;
    delta.changed.version = newer.version;
    delta.changed.transactionIdleLimit = newer.transactionIdleLimit;
    delta.changed.routes = compare(older.routes, newer.routes, delta.removedRoutes);
    delta.changed.groups = compare(older.groups, newer.groups, delta.removedGroups);
    std::map<WorkspaceId, WorkspaceConfig> workspaces = compare(getWorkspaces(older), getWorkspaces(newer), delta.removedWorkspaces);
    if (newer.workspaces)
        delta.changed.workspaces = makeWorkspaceTable(workspaces);
    return delta;
}

RouteDelta mergeRouteDeltas(const RouteDelta& first, const RouteDelta& second)
{
    RouteDelta merged = second;
    merged.from = first.from;
    merged.removedRoutes = mergeRemoved(first.removedRoutes, second.removedRoutes, second.changed.routes);
    merged.removedGroups = mergeRemoved(first.removedGroups, second.removedGroups, second.changed.groups);
    merged.removedWorkspaces = mergeRemoved(first.removedWorkspaces, second.removedWorkspaces, getWorkspaces(second.changed));
    merged.changed.routes = first.changed.routes;
    update(merged.changed.routes, second.changed.routes, second.removedRoutes);
    merged.changed.groups = first.changed.groups;
    update(merged.changed.groups, second.changed.groups, second.removedGroups);
    if (second.changed.workspaces) {
        std::map<WorkspaceId, WorkspaceConfig> workspaces = getWorkspaces(first.changed);
        update(workspaces, getWorkspaces(second.changed), second.removedWorkspaces);
        merged.changed.workspaces = makeWorkspaceTable(workspaces);
    }
    return merged;
}

std::optional<RouteTable> applyRouteDelta(const RouteTable& base, const RouteDelta& delta, Failure& failure)
{
    if (base.version != delta.from) {
        failure.set(Failure::Kind::Conflict, "the changes belong to version " + std::to_string(delta.from.value()));
        return std::nullopt;
    }
    RouteTable table = delta.changed;
    table.routes = base.routes;
    update(table.routes, delta.changed.routes, delta.removedRoutes);
    table.groups = base.groups;
    update(table.groups, delta.changed.groups, delta.removedGroups);
    if (table.workspaces) {
        std::map<WorkspaceId, WorkspaceConfig> workspaces = getWorkspaces(base);
        update(workspaces, getWorkspaces(delta.changed), delta.removedWorkspaces);
        table.workspaces = makeWorkspaceTable(workspaces);
    }
    if (table.workspaces.has_value() == delta.changed.workspaces.has_value() && computeRouteTableDigest(table) == delta.digest)
        return table;
    failure.set(Failure::Kind::Conflict, "the changes of version " + std::to_string(table.version.value()) + " do not fit version " + std::to_string(base.version.value()));
    return std::nullopt;
}

nlohmann::json encodeRouteDelta(const RouteDelta& delta)
{
    nlohmann::json document = encodeGroupedRoutes(delta.changed);
    document[deltaField] = {
        { "from", delta.from.value() },
        { "digest", delta.digest.value() },
        { "removed_routes", encodeNames(delta.removedRoutes) },
        { "removed_groups", encodeNames(delta.removedGroups) },
        { "removed_workspaces", encodeNames(delta.removedWorkspaces) },
    };
    return document;
}

bool isRouteDelta(const nlohmann::json& document)
{
    return document.is_object() && document.contains(deltaField);
}

std::optional<RouteDelta> decodeRouteDelta(const nlohmann::json& document, Failure& failure)
{
    std::optional<RouteTable> changed = decodeRelayedRoutes(document, failure);
    if (!changed)
        return std::nullopt;
    std::vector<std::string> faults;
    JsonFields whole(document, "relayed routes", faults);
    JsonFields fields(whole.getValue(deltaField), deltaField, faults);
    RouteDelta delta;
    delta.changed = std::move(*changed);
    delta.from = BundleVersion(static_cast<std::uint64_t>(fields.getInteger("from", 0, std::numeric_limits<std::int64_t>::max())));
    const nlohmann::json& digest = fields.getValue("digest");
    if (digest.is_number_unsigned())
        delta.digest = RouteTableDigest(digest.get<std::uint64_t>());
    else
        fields.addFault("digest", "must be a number");
    delta.removedRoutes = decodeNames<DatabaseId>(fields, "removed_routes");
    delta.removedGroups = decodeNames<GroupId>(fields, "removed_groups");
    delta.removedWorkspaces = decodeNames<WorkspaceId>(fields, "removed_workspaces");
    if (faults.empty())
        return delta;
    failure.set(Failure::Kind::InvalidInput, joinFaults(faults));
    return std::nullopt;
}

} // namespace lentiljunction
