#include "Fit.h"
#include "Machine.h"
#include "Measurements.h"
#include "lentiljunction/bundle/ActiveBundle.h"
#include "lentiljunction/bundle/Signing.h"
#include "lentiljunction/peer/PeerMessage.h"
#include "lentiljunction/routing/GateMap.h"

namespace lentiljunction::capacity {

namespace {

    const std::vector<int> sizes { 100, 400, 900, 1600, designDatabases };
    constexpr int numRepeats = 5;
    constexpr double milliseconds = 1000;

    nlohmann::json makeBundle(std::uint64_t version, int numDatabases, const KeyPair& key)
    {
        nlohmann::json bundle {
            { "version", version },
            { "operators", { { "serial", 1 }, { "threshold", 1 }, { "keys", { { "operator", key.publicKey } } } } },
            { "ranks", { { "urgent", { { "target_ms", 100 } } }, { "normal", { { "target_ms", 500 }, { "floor_percent", 10 } } }, { "background", { { "target_ms", 2000 }, { "floor_percent", 5 } } } } },
            { "profiles", { { "standard", { { "slots", 2 }, { "connections", 16 }, { "status_sql", "SELECT * FROM lentiljunction_status()" }, { "fence_sql", "SELECT * FROM lentiljunction_fence({term})" }, { "promote_sql", "SELECT * FROM lentiljunction_promote({term})" } } } } },
        };
        for (int index = 0; index < numDatabases; index++) {
            std::string name = "region" + std::to_string(index % 7) + "-db-" + std::to_string(index);
            nlohmann::json upstreams = nlohmann::json::array();
            for (int member = 0; member < 3; member++)
                upstreams.push_back({ { "id", name + "-" + std::to_string(member) }, { "zone", "zone" + std::to_string((index + member) % designZones) }, { "host", "10.140." + std::to_string(index % 250) + "." + std::to_string(member) }, { "port", 5432 } });
            bundle["databases"][name] = { { "profile", "standard" }, { "upstreams", upstreams } };
        }
        return bundle;
    }

    SignedBundle sign(const nlohmann::json& document, const KeyPair& key)
    {
        Failure failure;
        SignedBundle bundle;
        bundle.text = toCanonicalText(document);
        std::string operators = toCanonicalText(document.at("operators"));
        bundle.approvals = { { "operator", *signText(key.privateKey, SigningPurpose::Bundle, bundle.text, failure), *signText(key.privateKey, SigningPurpose::Operators, operators, failure) } };
        return bundle;
    }

    MemberList makeMembers()
    {
        MemberList members;
        for (int index = 0; index < designInstances; index++)
            members.push_back({ InstanceId("instance-" + std::to_string(index)), ZoneId("zone" + std::to_string(index % designZones)), { "10.0.0.1", 1 }, MemberState::Alive, Incarnation(1) });
        return members;
    }

    /// @returns the mean processor time of the action in milliseconds
    template <typename Action>
    double measureMilliseconds(Action action)
    {
        double before = getThreadProcessorSeconds();
        for (int count = 0; count < numRepeats; count++)
            action();
        return (getThreadProcessorSeconds() - before) / numRepeats * milliseconds;
    }

} // namespace

nlohmann::json measureBundle()
{
    KeyPair key = createKeyPair();
    OperatorSet trust;
    trust.keys["operator"] = key.publicKey;
    MemberList members = makeMembers();
    std::vector<Sample> fullBytes;
    std::vector<Sample> deltaBytes;
    std::vector<Sample> fullTime;
    std::vector<Sample> deltaTime;
    std::vector<Sample> memory;
    std::vector<Sample> gateTime;
    for (int size : sizes) {
        SignedBundle first = sign(makeBundle(1, size, key), key);
        nlohmann::json changed = makeBundle(2, size, key);
        changed["databases"].begin().value()["durability"] = "primary";
        SignedBundle second = sign(changed, key);

        Failure failure;
        double heapBefore = getHeapBytes();
        ActiveBundle active(trust);
        active.offer(first, failure);
        double heapAfter = getHeapBytes();
        ActiveBundle newer(trust);
        newer.offer(first, failure);
        newer.offer(second, failure);
        std::optional<BundleDelta> delta = newer.makeDelta(BundleVersion(1));

        double databases = size;
        fullBytes.push_back({ databases, static_cast<double>(encodePeerMessage(BundleResponse { nullptr, toJson(second) }).size()) });
        deltaBytes.push_back({ databases, static_cast<double>(encodePeerMessage(BundleResponse { toJson(*delta), nullptr }).size()) });
        memory.push_back({ databases, heapAfter - heapBefore });
        fullTime.push_back({ databases, measureMilliseconds([&] { ActiveBundle fresh(trust); fresh.offer(second, failure); }) });
        std::vector<ActiveBundle> copies(numRepeats, active);
        std::size_t next = 0;
        deltaTime.push_back({ databases, measureMilliseconds([&] { copies[next++].offer(*delta, failure); }) });
        gateTime.push_back({ databases, measureMilliseconds([&] { GateMap gates(members, *active.getBundle()); }) });
    }
    return {
        { "full_bytes", toReport(fullBytes, "bytes of a full copy", designDatabases) },
        { "delta_bytes", toReport(deltaBytes, "bytes of a delta of one changed database", designDatabases) },
        { "full_ms", toReport(fullTime, "milliseconds of a core to take a full copy", designDatabases) },
        { "delta_ms", toReport(deltaTime, "milliseconds of a core to take a delta", designDatabases) },
        { "keeper_heap_bytes", toReport(memory, "heap bytes of the bundle in force", designDatabases) },
        { "gate_map_ms", toReport(gateTime, "milliseconds of a core to choose all gates among 2,100 instances", designDatabases) },
    };
}

} // namespace lentiljunction::capacity
