#include "RouteText.h"

#include "lentiljunction/core/Json.h"

#include <array>
#include <cstdio>
#include <utility>

namespace lentiljunction {

namespace {

    struct Meaning {
        const char* name;
        const char* text;
    };

    constexpr std::array<Meaning, 7> exclusions { {
        { "leaving", "it reports that it stops soon" },
        { "tried", "the statement was already refused there" },
        { "unreachable", "it cannot be reached" },
        { "too_loaded", "the wait in its queue would be too long" },
        { "no_freshness_proof", "nothing proves that its data is fresh enough" },
        { "not_primary", "only the primary may serve the statement" },
        { "primary_not_usable", "it is the primary, but must not be used now" },
    } };

    constexpr std::array<Meaning, 5> obstacles { {
        { "not_known", "no primary is known" },
        { "being_replaced", "the primary is being replaced" },
        { "no_lease", "the lease on the primary record has expired and the primary was not verified recently" },
        { "not_listed", "the primary is not in the list of upstreams" },
        { "leaving", "the primary reports that it stops soon" },
    } };

    constexpr std::array<Meaning, 4> penalties { {
        { "connect_ms", "new connection" },
        { "primary_ms", "primary" },
        { "other_zone_ms", "other zone" },
        { "behind_ms", "behind" },
    } };

    template <typename Meanings>
    std::string explain(const Meanings& meanings, const std::string& name)
    {
        for (const Meaning& meaning : meanings) {
            if (name == meaning.name)
                return meaning.text;
        }
        return name;
    }

    /// @returns a member, or null when it is missing
    const nlohmann::json& get(const nlohmann::json& object, const char* name)
    {
        static const nlohmann::json nothing;
        nlohmann::json::const_iterator found = object.is_object() ? object.find(name) : object.end();
        return found == object.end() ? nothing : *found;
    }

    std::string getText(const nlohmann::json& object, const char* name)
    {
        const nlohmann::json& value = get(object, name);
        return value.is_string() ? value.get<std::string>() : toJsonText(value);
    }

    std::string format(double value, const char* pattern = "%.1f")
    {
        std::array<char, 32> text {};
        std::snprintf(text.data(), text.size(), pattern, value);
        return text.data();
    }

    std::string formatMilliseconds(const nlohmann::json& value)
    {
        return value.is_number() ? format(value.get<double>()) + " ms" : "unknown";
    }

    std::string formatEstimate(const nlohmann::json& estimate)
    {
        std::string text = "estimate " + formatMilliseconds(get(estimate, "total_ms")) + " = work " + formatMilliseconds(get(estimate, "work_ms"));
        for (const Meaning& penalty : penalties) {
            const nlohmann::json& value = get(estimate, penalty.name);
            if (value.is_number() && value.get<double>() > 0)
                text += " + " + std::string(penalty.text) + " " + formatMilliseconds(value);
        }
        return text;
    }

    std::string formatUpstream(const nlohmann::json& upstream)
    {
        bool isChosen = get(upstream, "chosen") == true;
        std::string text = std::string(isChosen ? "* " : "  ") + getText(upstream, "upstream") + "  " + getText(upstream, "role") + ", zone " + getText(upstream, "zone") + (get(upstream, "own_zone") == true ? " (own)" : "");
        text += ", latency " + formatMilliseconds(get(upstream, "latency_ms"));
        if (get(upstream, "load").is_number())
            text += ", load " + format(get(upstream, "load").get<double>(), "%.2f");
        if (get(upstream, "lag_entries").is_number())
            text += ", lag " + getText(upstream, "lag_entries") + " entries (seen " + formatMilliseconds(get(upstream, "log_head_age_ms")) + " ago)";
        if (get(upstream, "avoided") == true)
            text += "\n      last choice: it failed much of its work recently";
        if (get(upstream, "probe_due") == true)
            text += "\n      first choice for one read: it was ejected, and a probe of it is due";
        if (get(upstream, "estimate").is_object())
            text += "\n      " + formatEstimate(get(upstream, "estimate"));
        if (get(upstream, "expected_wait_ms").is_number())
            text += "\n      expected wait for a connection " + formatMilliseconds(get(upstream, "expected_wait_ms"));
        if (get(upstream, "left_out").is_string())
            text += "\n      left out: " + explain(exclusions, getText(upstream, "left_out"));
        return text + "\n";
    }

    std::string formatPrimary(const nlohmann::json& primary)
    {
        std::string text = "primary: ";
        if (get(primary, "upstream").is_string())
            text += getText(primary, "upstream") + ", generation " + getText(primary, "generation") + ", ";
        return text + (get(primary, "usable") == true ? "usable" : "not usable: " + explain(obstacles, getText(primary, "obstacle"))) + "\n";
    }

    std::string formatWorkspace(const nlohmann::json& workspace)
    {
        if (!workspace.is_object())
            return "";
        std::string name = get(workspace, "name").is_string() ? getText(workspace, "name") + (get(workspace, "known") == true ? ", known" : ", not known") : "none is named; give --workspace NAME";
        const nlohmann::json& limit = get(workspace, "limit");
        return "workspace: " + name + ", key " + getText(workspace, "key") + (limit.is_object() ? ", limit " + getText(limit, "rate_per_s") + " per second, burst " + getText(limit, "burst") : "") + "\n";
    }

    std::string formatDecision(const nlohmann::json& decision)
    {
        std::string action = getText(decision, "action");
        if (action == "send")
            return "decision: sent to " + getText(decision, "upstream") + "\n";
        std::string text = "decision: " + (action == "wait" ? "waits up to " + formatMilliseconds(get(decision, "longest_wait_ms")) : std::string("refused at once")) + ", because " + getText(decision, "reason");
        if (get(decision, "primary_expected_in_ms").is_number())
            text += "; a primary is expected in " + formatMilliseconds(get(decision, "primary_expected_in_ms"));
        return text + "\n";
    }

} // namespace

std::string formatRoute(const nlohmann::json& answer)
{
    const nlohmann::json& route = get(answer, "route");
    const nlohmann::json& freshness = get(answer, "freshness");
    std::string text = getText(answer, "statement") + " on " + getText(answer, "database") + " at instance " + getText(answer, "instance") + " in zone " + getText(answer, "zone") + "\n" + formatWorkspace(get(answer, "workspace"));
    text += "route: group " + getText(route, "group") + ", " + getText(route, "consistency") + ", rank " + getText(route, "rank") + ", timeout " + formatMilliseconds(get(route, "statement_timeout_ms"));
    if (get(route, "maximum_staleness_ms").is_number())
        text += ", data at most " + formatMilliseconds(get(route, "maximum_staleness_ms")) + " old";
    text += ", version " + getText(answer, "routes_version") + "\n" + formatPrimary(get(answer, "primary"));
    if (get(get(answer, "primary"), "needed") == false)
        text += "freshness: newest proof " + formatMilliseconds(get(freshness, "proof_age_ms")) + " old, " + (get(freshness, "proof_recent_enough") == true ? "a replica must have reached " + getText(freshness, "required_head") : "too old for replicas") + "\n";
    for (const nlohmann::json& upstream : get(answer, "upstreams"))
        text += formatUpstream(upstream);
    return text + formatDecision(get(answer, "decision"));
}

} // namespace lentiljunction
