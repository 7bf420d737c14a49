#include "lentiljunction/leadership/PrimaryRecordCodec.h"

#include "lentiljunction/core/JsonFields.h"

#include <limits>

namespace lentiljunction {

namespace {

    constexpr std::int64_t maxInteger = std::numeric_limits<std::int64_t>::max();
    constexpr const char* changingPhase = "changing";
    constexpr const char* stablePhase = "stable";
    constexpr const char* openPromotionsField = "open_promotions";
    constexpr const char* logHoldersField = "log_holders";
    constexpr const char* absentField = "absent";
    constexpr const char* startedAtField = "started_at_ms";
    constexpr const char* leavingFromField = "leaving_from";

    /// Records of earlier releases have no era, so they count as restored.
    StoreEra decodeEra(JsonFields& fields, const nlohmann::json& object, const std::string& name)
    {
        bool isPresent = object.is_object() && object.contains(name);
        return StoreEra(isPresent ? static_cast<std::uint64_t>(fields.getInteger(name, 0, maxInteger)) : 0);
    }

    OpenPromotion decodeOpenPromotion(const nlohmann::json& object, const std::string& path, std::vector<std::string>& faults)
    {
        JsonFields fields(object, path, faults);
        OpenPromotion promotion;
        promotion.upstream = UpstreamId(fields.getText("upstream"));
        promotion.epoch = FencingToken(static_cast<std::uint64_t>(fields.getInteger("epoch", 0, maxInteger)));
        promotion.generation = static_cast<std::uint64_t>(fields.getInteger("generation", 0, maxInteger));
        return promotion;
    }

    /// Records of earlier releases lack some lists.
    ///
    /// @param decodeItem decodes one item of the list
    template <typename T>
    std::vector<T> decodeList(JsonFields& fields, const nlohmann::json& object, const std::string& path, const char* name, T (*decodeItem)(const nlohmann::json&, const std::string&, std::vector<std::string>&), std::vector<std::string>& faults)
    {
        std::vector<T> items;
        if (!object.is_object() || !object.contains(name))
            return items;
        const nlohmann::json& list = object[name];
        if (!list.is_array()) {
            fields.addFault(name, "must be an array");
            return items;
        }
        for (const nlohmann::json& item : list)
            items.push_back(decodeItem(item, path + "." + name, faults));
        return items;
    }

    nlohmann::json encodeOpenPromotions(const std::vector<OpenPromotion>& promotions)
    {
        nlohmann::json list = nlohmann::json::array();
        for (const OpenPromotion& promotion : promotions)
            list.push_back({ { "upstream", promotion.upstream.toString() }, { "epoch", promotion.epoch.value() }, { "generation", promotion.generation } });
        return list;
    }

    LogHolder decodeLogHolder(const nlohmann::json& object, const std::string& path, std::vector<std::string>& faults)
    {
        JsonFields fields(object, path, faults);
        LogHolder holder { UpstreamId(fields.getText("upstream")) };
        if (object.is_object() && object.contains(startedAtField))
            holder.startedAt = WallTime(std::chrono::milliseconds(fields.getInteger(startedAtField, 0, latestUnixMilliseconds)));
        if (object.is_object() && object.contains(leavingFromField)) {
            Failure failure;
            holder.leavingFrom = parseEndpoint(fields.getText(leavingFromField), failure);
            if (!holder.leavingFrom)
                fields.addFault(leavingFromField, failure.reason);
        }
        return holder;
    }

    nlohmann::json encodeLogHolders(const std::vector<LogHolder>& holders)
    {
        nlohmann::json list = nlohmann::json::array();
        for (const LogHolder& holder : holders) {
            nlohmann::json object { { "upstream", holder.upstream.toString() } };
            if (holder.startedAt)
                object[startedAtField] = toUnixMilliseconds(*holder.startedAt);
            if (holder.leavingFrom)
                object[leavingFromField] = holder.leavingFrom->host + ":" + std::to_string(holder.leavingFrom->port);
            list.push_back(std::move(object));
        }
        return list;
    }

    PrimaryEntry decodeGroup(const nlohmann::json& object, const std::string& path, std::vector<std::string>& faults)
    {
        JsonFields fields(object, path, faults);
        PrimaryEntry entry;
        std::string phase = fields.getText("phase");
        if (phase != changingPhase && phase != stablePhase)
            fields.addFault("phase", "must be \"stable\" or \"changing\"");
        entry.phase = phase == changingPhase ? PrimaryPhase::Changing : PrimaryPhase::Stable;
        entry.primary = UpstreamId(fields.getText("primary"));
        entry.generation = static_cast<std::uint64_t>(fields.getInteger("generation", 0, maxInteger));
        entry.baseline.term = Term(static_cast<std::uint64_t>(fields.getInteger("baseline_term", 0, maxInteger)));
        entry.baseline.position = Position(static_cast<std::uint64_t>(fields.getInteger("baseline_position", 0, maxInteger)));
        entry.term = Term(static_cast<std::uint64_t>(fields.getInteger("term", 0, maxInteger)));
        entry.era = decodeEra(fields, object, "era");
        entry.openPromotions = decodeList(fields, object, path, openPromotionsField, decodeOpenPromotion, faults);
        entry.logHolders = decodeList(fields, object, path, logHoldersField, decodeLogHolder, faults);
        return entry;
    }

} // namespace

nlohmann::json encodePrimaryRecord(const PrimaryRecord& record)
{
    nlohmann::json groups = nlohmann::json::object();
    for (const std::pair<const GroupId, PrimaryEntry>& group : record.groups) {
        const PrimaryEntry& entry = group.second;
        groups[group.first.toString()] = {
            { "phase", entry.phase == PrimaryPhase::Changing ? changingPhase : stablePhase },
            { "primary", entry.primary.toString() },
            { "generation", entry.generation },
            { "baseline_term", entry.baseline.term.value() },
            { "baseline_position", entry.baseline.position.value() },
            { "term", entry.term.value() },
            { "era", entry.era.value() },
        };
        if (!entry.openPromotions.empty())
            groups[group.first.toString()][openPromotionsField] = encodeOpenPromotions(entry.openPromotions);
        if (!entry.logHolders.empty())
            groups[group.first.toString()][logHoldersField] = encodeLogHolders(entry.logHolders);
    }
    nlohmann::json retired = nlohmann::json::array();
    for (const InstanceId& instance : record.retired)
        retired.push_back(instance.toString());
    nlohmann::json document { { "holder", record.coordinator.toString() }, { "epoch", record.epoch.value() }, { "nonce", record.nonce }, { "groups", groups }, { "retired", retired }, { "era", record.era.value() }, { "created_in", record.createdIn.value() } };
    for (const InstanceId& instance : record.absent)
        document[absentField].push_back(instance.toString());
    return document;
}

std::optional<PrimaryRecord> decodePrimaryRecord(const nlohmann::json& document, Failure& failure)
{
    std::vector<std::string> faults;
    JsonFields fields(document, "primary record", faults);
    PrimaryRecord record;
    record.coordinator = InstanceId(fields.getText("holder"));
    record.epoch = FencingToken(static_cast<std::uint64_t>(fields.getInteger("epoch", 0, maxInteger)));
    record.nonce = fields.getText("nonce");
    record.era = decodeEra(fields, document, "era");
    record.createdIn = decodeEra(fields, document, "created_in");
    for (const std::string& instance : fields.getTexts("retired"))
        record.retired.insert(InstanceId(instance));
    if (document.is_object() && document.contains(absentField)) {
        for (const std::string& instance : fields.getTexts(absentField))
            record.absent.insert(InstanceId(instance));
    }
    const nlohmann::json& groups = fields.getValue("groups");
    if (!groups.is_object())
        fields.addFault("groups", "must be an object");
    else
        for (nlohmann::json::const_iterator group = groups.begin(); group != groups.end(); ++group)
            record.groups[GroupId(group.key())] = decodeGroup(group.value(), fields.pathOf("groups." + group.key()), faults);
    if (faults.empty())
        return record;
    failure.set(Failure::Kind::InvalidInput, joinFaults(faults));
    return std::nullopt;
}

} // namespace lentiljunction
