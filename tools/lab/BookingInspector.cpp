#include "BookingInspector.h"

#include "../../src/execution/PostgresConnection.h"
#include "lentiljunction/core/EventLoop.h"

#include <future>
#include <map>
#include <thread>

namespace lentiljunction::lab {

namespace {

    constexpr int maximumAttempts = 20;
    constexpr std::chrono::milliseconds retryInterval { 500 };
    constexpr Duration readTimeout = std::chrono::seconds(5);

    /// Runs one statement at an upstream, without the instances.
    ///
    /// @returns the reply, empty when the connection failed
    SqlReply queryUpstream(const UpstreamNode& node, const std::string& sql)
    {
        EventLoop loop;
        std::promise<SqlReply> promise;
        PostgresConnection connection(loop, { "127.0.0.1", static_cast<std::uint16_t>(node.port) }, { "lab", "main", "zone=" + node.zone + ";instance=lab" });
        loop.post([&] {
            connection.open(readTimeout, [&](bool isOpen) {
                if (isOpen)
                    connection.execute(sql, readTimeout, [&](const SqlReply& reply) { promise.set_value(reply); });
                else
                    promise.set_value(SqlReply());
            });
        });
        loop.start();
        SqlReply reply = promise.get_future().get();
        loop.stop();
        return reply;
    }

    std::string describeFailure(const SqlReply& reply)
    {
        if (reply.status == SqlReply::Status::Failed)
            return reply.error.sqlState + " " + reply.error.message;
        return reply.isSilent ? "no reply" : "the connection was refused or lost";
    }

    /// Counts the rows of each booking of a run at the primary of a database.
    ///
    /// @param found receives the number of rows by booking
    /// @param failure receives why the primary could not be read
    ///
    /// @returns whether the primary could be read
    bool countBookings(Cluster& cluster, const std::string& database, const std::string& runName, std::map<std::string, int>& found, Failure& failure)
    {
        const std::string sql = "SELECT id, count(*) FROM bookings WHERE id LIKE '" + runName + "-%' GROUP BY id";
        for (int count = 0; count < maximumAttempts; count++) {
            UpstreamNode* primary = cluster.findPrimary(database);
            SqlReply reply = primary == nullptr ? SqlReply() : queryUpstream(*primary, sql);
            if (reply.results.empty()) {
                failure.set(Failure::Kind::Unavailable, database + ": " + (primary == nullptr ? "no primary" : primary->id + " " + describeFailure(reply)));
                std::this_thread::sleep_for(retryInterval);
                continue;
            }
            for (const std::vector<std::optional<std::string>>& row : reply.results.front().rows)
                found[row[0].value_or("")] += std::stoi(row[1].value_or("0"));
            return true;
        }
        return false;
    }

} // namespace

BookingCheck compareBookings(Cluster& cluster, const std::vector<std::string>& databases, const std::string& runName, const std::set<std::string>& acknowledged, const std::set<std::string>& refused)
{
    BookingCheck check;
    std::map<std::string, int> found;
    for (const std::string& database : databases)
        check.isVerified = countBookings(cluster, database, runName, found, check.failure) && check.isVerified;

    check.numAcknowledged = acknowledged.size();
    for (const std::string& booking : acknowledged)
        check.numLost += found.count(booking) == 0 ? 1 : 0;
    for (const std::pair<const std::string, int>& entry : found) {
        check.numDuplicated += entry.second > 1 ? 1 : 0;
        check.numExecutedThoughRefused += refused.count(entry.first) > 0 ? 1 : 0;
    }
    return check;
}

} // namespace lentiljunction::lab
