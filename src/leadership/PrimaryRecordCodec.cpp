#include "lentiljunction/leadership/PrimaryRecordCodec.h"

#include "lentiljunction/core/JsonFields.h"

#include <limits>

namespace lentiljunction {

namespace {

    constexpr std::int64_t noLimit = std::numeric_limits<std::int64_t>::max();
    constexpr const char* changingPhase = "changing";
    constexpr const char* stablePhase = "stable";

    PrimaryEntry decodeGroup(const nlohmann::json& object, const std::string& path, std::vector<std::string>& faults)
    {
        JsonFields fields(object, path, faults);
        PrimaryEntry lead;
        std::string phase = fields.getText("phase");
        if (phase != changingPhase && phase != stablePhase)
            fields.addFault("phase", "must be \"stable\" or \"changing\"");
        lead.phase = phase == changingPhase ? PrimaryPhase::Changing : PrimaryPhase::Stable;
        lead.primary = UpstreamId(fields.getText("primary"));
        lead.generation = static_cast<std::uint64_t>(fields.getInteger("generation", 0, noLimit));
        lead.baseline.term = Term(static_cast<std::uint64_t>(fields.getInteger("baseline_term", 0, noLimit)));
        lead.baseline.position = Position(static_cast<std::uint64_t>(fields.getInteger("baseline_position", 0, noLimit)));
        lead.term = Term(static_cast<std::uint64_t>(fields.getInteger("term", 0, noLimit)));
        return lead;
    }

} // namespace

nlohmann::json encodePrimaryRecord(const PrimaryRecord& record)
{
    nlohmann::json groups = nlohmann::json::object();
    for (const std::pair<const GroupId, PrimaryEntry>& group : record.groups) {
        const PrimaryEntry& lead = group.second;
        groups[group.first.toString()] = {
            { "phase", lead.phase == PrimaryPhase::Changing ? changingPhase : stablePhase },
            { "primary", lead.primary.toString() },
            { "generation", lead.generation },
            { "baseline_term", lead.baseline.term.value() },
            { "baseline_position", lead.baseline.position.value() },
            { "term", lead.term.value() },
        };
    }
    nlohmann::json retired = nlohmann::json::array();
    for (const InstanceId& instance : record.retired)
        retired.push_back(instance.toString());
    return { { "holder", record.holder.toString() }, { "epoch", record.epoch.value() }, { "nonce", record.nonce }, { "groups", groups }, { "retired", retired } };
}

std::optional<PrimaryRecord> decodePrimaryRecord(const nlohmann::json& document, Failure& failure)
{
    std::vector<std::string> faults;
    JsonFields fields(document, "lead record", faults);
    PrimaryRecord record;
    record.holder = InstanceId(fields.getText("holder"));
    record.epoch = FencingToken(static_cast<std::uint64_t>(fields.getInteger("epoch", 0, noLimit)));
    record.nonce = fields.getText("nonce");
    for (const std::string& instance : fields.getTexts("retired"))
        record.retired.insert(InstanceId(instance));
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
