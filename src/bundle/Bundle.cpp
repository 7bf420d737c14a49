#include "lentiljunction/bundle/Bundle.h"

#include "lentiljunction/core/JsonFields.h"

namespace lentiljunction {

namespace {

    constexpr std::int64_t maximumVersion = 1'000'000'000'000;
    constexpr std::int64_t maximumMilliseconds = 3'600'000;
    constexpr std::size_t publicKeyHexLength = 64;
    /// One connection for each of two gates, in addition to the control connections.
    constexpr std::int64_t minimumConnections = ProfileConfig::controlConnections + 2;

    ProfileConfig parseProfile(const nlohmann::json& document, const std::string& path, std::vector<std::string>& faults)
    {
        JsonFields fields(document, path, faults);
        ProfileConfig profile;
        profile.slots = static_cast<int>(fields.getInteger("slots", 1, 1024));
        profile.connections = static_cast<int>(fields.getInteger("connections", minimumConnections, 10000));
        profile.warmConnections = static_cast<int>(fields.findInteger("warm_connections", 1, 1000).value_or(profile.warmConnections));
        profile.keyRetention = std::chrono::seconds(fields.findInteger("key_retention_s", 60, 31536000).value_or(profile.keyRetention.count()));
        profile.statusSql = fields.getText("status_sql");
        profile.fenceSql = fields.getText("fence_sql");
        profile.promoteSql = fields.getText("promote_sql");
        fields.rejectUnknownFields();

        if (profile.fenceSql.find("{term}") == std::string::npos)
            fields.addFault("fence_sql", "must contain {term}");
        if (profile.promoteSql.find("{term}") == std::string::npos)
            fields.addFault("promote_sql", "must contain {term}");
        if (profile.warmConnections > profile.getGateConnections())
            fields.addFault("warm_connections", "must be at most " + std::to_string(profile.getGateConnections()) + ", the number of these connections that one gate may open");
        return profile;
    }

    UpstreamConfig parseUpstream(const nlohmann::json& document, const std::string& path, std::vector<std::string>& faults)
    {
        JsonFields fields(document, path, faults);
        UpstreamConfig upstream;
        upstream.id = UpstreamId(fields.getText("id"));
        upstream.zone = ZoneId(fields.getText("zone"));
        upstream.host = fields.getText("host");
        upstream.port = static_cast<std::uint16_t>(fields.getInteger("port", 1, 65535));
        fields.rejectUnknownFields();
        return upstream;
    }

    Durability parseDurability(JsonFields& fields)
    {
        std::string text = fields.findText("durability").value_or("replicated");
        if (text == "primary")
            return Durability::Primary;
        if (text != "replicated")
            fields.addFault("durability", "must be replicated or primary");
        return Durability::Replicated;
    }

    DatabaseConfig parseDatabase(const std::string& id, const nlohmann::json& document, const Bundle& bundle, std::vector<std::string>& faults)
    {
        std::string path = "bundle.databases." + id;
        JsonFields fields(document, path, faults);
        DatabaseConfig database;
        database.id = DatabaseId(id);
        database.profile = fields.getText("profile");
        database.durability = parseDurability(fields);
        if (bundle.profiles.count(database.profile) == 0)
            fields.addFault("profile", "is not the name of a profile of this bundle");

        const nlohmann::json& upstreams = fields.getValue("upstreams");
        fields.rejectUnknownFields();
        if (!upstreams.is_array() || upstreams.size() % 2 == 0) {
            fields.addFault("upstreams", "must be an array of an odd number of upstreams");
            return database;
        }

        for (const nlohmann::json& upstream : upstreams) {
            UpstreamConfig parsed = parseUpstream(upstream, path + ".upstreams", faults);
            if (database.findUpstream(parsed.id) != nullptr)
                fields.addFault("upstreams", "names " + parsed.id.toString() + " twice");
            database.upstreams.push_back(parsed);
        }
        return database;
    }

    RankConfig parseRankConfig(const nlohmann::json& document, const std::string& path, std::vector<std::string>& faults)
    {
        JsonFields fields(document, path, faults);
        RankConfig rank;
        rank.target = std::chrono::milliseconds(fields.getInteger("target_ms", 1, maximumMilliseconds));
        rank.floorPercent = static_cast<int>(fields.findInteger("floor_percent", 0, 50).value_or(0));
        fields.rejectUnknownFields();
        return rank;
    }

    LimitsConfig parseLimits(const nlohmann::json& document, std::vector<std::string>& faults)
    {
        JsonFields fields(document, "bundle.limits", faults);
        LimitsConfig limits;
        limits.maximumBodyBytes = fields.findInteger("maximum_body_bytes", 1024, 64 << 20).value_or(limits.maximumBodyBytes);
        limits.defaultDeadline = std::chrono::milliseconds(fields.findInteger("default_deadline_ms", 1, maximumMilliseconds).value_or(limits.defaultDeadline.count()));
        limits.maximumDeadline = std::chrono::milliseconds(fields.findInteger("maximum_deadline_ms", 1, maximumMilliseconds).value_or(limits.maximumDeadline.count()));
        limits.retryPercent = static_cast<int>(fields.findInteger("retry_percent", 0, 100).value_or(limits.retryPercent));
        limits.transactionIdleTimeout = std::chrono::milliseconds(fields.findInteger("transaction_idle_ms", 100, maximumMilliseconds).value_or(limits.transactionIdleTimeout.count()));
        fields.rejectUnknownFields();
        return limits;
    }

    void parseRanks(const nlohmann::json& document, Bundle& bundle, std::vector<std::string>& faults)
    {
        JsonFields fields(document, "bundle.ranks", faults);
        int floorSum = 0;
        for (Rank rank : allRanks) {
            const std::string name = toString(rank);
            RankConfig parsed = parseRankConfig(fields.getValue(name), fields.pathOf(name), faults);
            bundle.ranks[toIndex(rank)] = parsed;
            floorSum += parsed.floorPercent;
        }
        fields.rejectUnknownFields();
        if (floorSum > 50)
            faults.push_back("bundle.ranks floors must add up to at most 50 percent");
    }

    template <typename Parser>
    void parseEntries(const nlohmann::json& document, const std::string& path, std::vector<std::string>& faults, Parser parser)
    {
        if (!document.is_object()) {
            faults.push_back(path + " must be an object");
            return;
        }
        for (nlohmann::json::const_iterator entry = document.begin(); entry != document.end(); ++entry)
            parser(entry.key(), entry.value());
    }

} // namespace

const UpstreamConfig* DatabaseConfig::findUpstream(const UpstreamId& id) const
{
    for (const UpstreamConfig& upstream : this->upstreams) {
        if (upstream.id == id)
            return &upstream;
    }
    return nullptr;
}

const DatabaseConfig* Bundle::findDatabase(const DatabaseId& id) const
{
    std::map<DatabaseId, DatabaseConfig>::const_iterator found = this->databases.find(id);
    if (found == this->databases.end())
        return nullptr;
    return &found->second;
}

OperatorSet parseOperatorSet(const nlohmann::json& document, const std::string& path, std::vector<std::string>& faults)
{
    JsonFields fields(document, path, faults);
    OperatorSet operators;
    operators.serial = static_cast<std::uint64_t>(fields.getInteger("serial", 1, maximumVersion));
    operators.threshold = static_cast<int>(fields.getInteger("threshold", 1, 100));
    const nlohmann::json& keys = fields.getValue("keys");
    fields.rejectUnknownFields();

    parseEntries(keys, fields.pathOf("keys"), faults, [&](const std::string& name, const nlohmann::json& key) {
        if (!key.is_string() || key.get<std::string>().size() != publicKeyHexLength) {
            fields.addFault("keys." + name, "must be an Ed25519 public key of 64 hexadecimal digits");
            return;
        }
        operators.keys[name] = key.get<std::string>();
    });

    if (static_cast<std::size_t>(operators.threshold) > operators.keys.size())
        fields.addFault("threshold", "must be at most the number of keys");
    return operators;
}

std::optional<Bundle> parseBundle(const nlohmann::json& document, Failure& failure)
{
    std::vector<std::string> faults;
    JsonFields fields(document, "bundle", faults);
    Bundle bundle;
    bundle.version = BundleVersion(static_cast<std::uint64_t>(fields.getInteger("version", 1, maximumVersion)));
    bundle.operators = parseOperatorSet(fields.getValue("operators"), "bundle.operators", faults);
    parseRanks(fields.getValue("ranks"), bundle, faults);
    if (const nlohmann::json* limits = fields.findValue("limits"))
        bundle.limits = parseLimits(*limits, faults);

    parseEntries(fields.getValue("profiles"), "bundle.profiles", faults, [&](const std::string& name, const nlohmann::json& profile) {
        bundle.profiles[name] = parseProfile(profile, "bundle.profiles." + name, faults);
    });
    parseEntries(fields.getValue("databases"), "bundle.databases", faults, [&](const std::string& id, const nlohmann::json& database) {
        bundle.databases[DatabaseId(id)] = parseDatabase(id, database, bundle, faults);
    });
    fields.rejectUnknownFields();

    if (faults.empty())
        return bundle;
    failure.set(Failure::Kind::InvalidInput, joinFaults(faults));
    return std::nullopt;
}

} // namespace lentiljunction
