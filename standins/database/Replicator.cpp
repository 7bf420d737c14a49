#include "Replicator.h"

#include <httplib.h>
#include <thread>

namespace lentiljunction::standins {

namespace {

    constexpr std::chrono::milliseconds heartbeatInterval { 50 };
    constexpr std::chrono::milliseconds retryInterval { 20 };
    constexpr std::chrono::milliseconds responseTimeout { 2000 };
    constexpr int httpOk = 200;

    LogPoint parsePoint(const nlohmann::json& row)
    {
        return { Term(row.at(0).get<std::uint64_t>()), Position(row.at(1).get<std::uint64_t>()) };
    }

} // namespace

nlohmann::json toJson(const ReplicationBatch& batch)
{
    nlohmann::json entries = nlohmann::json::array();
    for (const LogEntry& entry : batch.entries)
        entries.push_back({ { "term", entry.term.value() }, { "statements", entry.statements } });
    return { { "term", batch.term.value() }, { "previous", { batch.previous.term.value(), batch.previous.position.value() } }, { "entries", entries } };
}

ReplicationBatch parseBatch(const nlohmann::json& document)
{
    ReplicationBatch batch;
    batch.term = Term(document.at("term").get<std::uint64_t>());
    batch.previous = parsePoint(document.at("previous"));
    for (const nlohmann::json& entry : document.at("entries"))
        batch.entries.push_back({ Term(entry.at("term").get<std::uint64_t>()), entry.at("statements").get<std::vector<std::string>>() });
    return batch;
}

nlohmann::json toJson(const ReplicationReply& reply)
{
    return { { "accepted", reply.isAccepted }, { "fenced_term", reply.fencedTerm.value() }, { "matched", reply.matched.value() } };
}

ReplicationReply parseReply(const nlohmann::json& document)
{
    return { document.at("accepted").get<bool>(), Term(document.at("fenced_term").get<std::uint64_t>()), Position(document.at("matched").get<std::uint64_t>()) };
}

void shipLog(DatabaseLog& log, FaultInjector& faults, const std::string& ownZone, const ReplicaAddress& replica)
{
    httplib::Client client(replica.host, replica.controlPort);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_read_timeout(responseTimeout);
    Position replicatedUpTo;
    while (true) {
        std::optional<ReplicationBatch> batch = log.getBatch(replicatedUpTo, heartbeatInterval);
        faults.waitWhileFrozen();
        if (!batch || faults.isCut(replica.zone)) {
            std::this_thread::sleep_for(retryInterval);
            continue;
        }

        httplib::Result result = client.Post("/replicate", { { "X-Zone", ownZone } }, toJson(*batch).dump(), "application/json");
        nlohmann::json document = result && result->status == httpOk ? nlohmann::json::parse(result->body, nullptr, false) : nlohmann::json();
        if (!document.is_object()) {
            std::this_thread::sleep_for(retryInterval);
            continue;
        }
        ReplicationReply reply = parseReply(document);
        if (reply.isAccepted)
            replicatedUpTo = reply.matched;
        else
            std::this_thread::sleep_for(retryInterval);
    }
}

} // namespace lentiljunction::standins
