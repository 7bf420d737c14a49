#include "LoadGenerator.h"

#include "BookingInspector.h"

#include "../../src/net/WebSocketClient.h"
#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/EventLoop.h"

#include <algorithm>
#include <atomic>
#include <httplib.h>
#include <random>
#include <set>
#include <thread>
#include <unordered_map>
#include <utility>

namespace lentiljunction::lab {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(1);
    constexpr Duration reconnectDelay = std::chrono::milliseconds(100);
    constexpr std::chrono::milliseconds pollInterval { 1 };
    /// A booking with a key is retried until it is completed or rejected, for at most this time.
    constexpr double retryWindowMilliseconds = 15000;
    /// A request without a response counts as lost this long after its deadline.
    constexpr double responseGraceMilliseconds = 500;
    constexpr std::chrono::seconds finishTimeout { 20 };
    constexpr int maximumPrepareAttempts = 20;

    std::string makeKey(const std::string& booking)
    {
        return std::to_string(toUnixMilliseconds(std::chrono::system_clock::now())) + ":" + booking;
    }

    bool isWrite(StreamKind kind)
    {
        return kind == StreamKind::KeyedWrite || kind == StreamKind::PlainWrite || kind == StreamKind::WriteThenRead;
    }

    bool isKeyed(StreamKind kind)
    {
        return kind == StreamKind::KeyedWrite || kind == StreamKind::WriteThenRead;
    }

} // namespace

nlohmann::json sendRequest(const InstanceNode& node, const nlohmann::json& request)
{
    httplib::Client client("127.0.0.1", node.callerPort);
    client.set_read_timeout(std::chrono::seconds(10));
    httplib::Result result = client.Post("/v1/execute", request.dump(), "application/json");
    return result ? nlohmann::json::parse(result->body, nullptr, false) : nlohmann::json();
}

/// Keeps the sessions, sends the requests and handles the responses, all on one event loop.
class LoadGenerator::Implementation : private WebSocketClient::Listener {
public:
    Implementation(Cluster& cluster, std::vector<StreamPlan> plans)
        : cluster(cluster)
        , streams(std::move(plans))
        , client(this->loop, *this)
        , runName(std::to_string(std::random_device()()))
    {
        for (int index = 0; index < cluster.getSite().numDatabases; index++)
            this->databases.push_back("db-" + std::string(1, static_cast<char>('a' + index)));
    }

    bool prepare()
    {
        for (const std::string& database : this->databases) {
            nlohmann::json request { { "id", "prepare" }, { "database", database }, { "statements", { "CREATE TABLE IF NOT EXISTS bookings (id TEXT, quantity INTEGER)" } }, { "deadline_ms", 3000 } };
            bool isDone = false;
            for (int count = 0; count < maximumPrepareAttempts && !isDone; count++)
                isDone = sendRequest(this->cluster.getInstances().front(), request).value("outcome", "") == "completed";
            if (!isDone)
                return false;
        }
        return true;
    }

    void run(std::chrono::milliseconds duration, std::vector<ScriptedStep> steps)
    {
        this->loop.start();
        this->loop.post([this] { this->connectAll(); });
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        this->startedAt = this->clock.now();
        this->duration = static_cast<double>(duration.count());
        this->nextDue.assign(this->streams.size(), 0);
        this->loop.repeat(tickInterval, [this] { this->onTick(); });

        std::sort(steps.begin(), steps.end(), [](const ScriptedStep& left, const ScriptedStep& right) { return left.at < right.at; });
        for (const ScriptedStep& step : steps) {
            while (this->getElapsed() < static_cast<double>(step.at.count()))
                std::this_thread::sleep_for(pollInterval);
            step.action();
        }
        while (this->getElapsed() < this->duration)
            std::this_thread::sleep_for(pollInterval);

        std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + finishTimeout;
        while (this->numPending > 0 && std::chrono::steady_clock::now() < deadline)
            std::this_thread::sleep_for(pollInterval);
        this->loop.stop();
    }

    const StreamResult& getResult(const std::string& stream) const { return this->results.at(stream); }

    BookingCheck checkBookings()
    {
        return compareBookings(this->cluster, this->databases, this->runName, this->acknowledged, this->refused);
    }

private:
    struct Pending {
        std::size_t stream = 0;
        double scheduledAt = 0;
        double sentAt = 0;
        std::string booking;
        std::string key;
        std::string database;
        std::size_t instance = 0;
        bool isReadBack = false;
        /// Whether an earlier attempt may have taken effect: it had no response, or one other than not_run.
        bool hadUnclearOutcome = false;
    };

    struct Session {
        WebSocketClient::Handle handle = 0;
        bool isOpen = false;
    };

    void onConnected(WebSocketClient::Handle handle) override
    {
        for (Session& session : this->sessions) {
            if (session.handle == handle)
                session.isOpen = true;
        }
    }

    void onDisconnected(WebSocketClient::Handle handle) override
    {
        for (std::size_t index = 0; index < this->sessions.size(); index++) {
            if (this->sessions[index].handle != handle)
                continue;
            this->sessions[index].isOpen = false;
            this->failPendingRequests(index);
            this->loop.schedule(reconnectDelay, [this, index] { this->connect(index); });
        }
    }

    void onMessage(WebSocketClient::Handle, const std::string& payload) override
    {
        nlohmann::json response = nlohmann::json::parse(payload, nullptr, false);
        std::string id = response.value("id", "");
        std::unordered_map<std::string, Pending>::iterator found = this->pending.find(id);
        if (found == this->pending.end())
            return;
        Pending request = std::move(found->second);
        this->pending.erase(found);
        this->onResponse(std::move(request), response);
    }

    void connectAll()
    {
        this->sessions.resize(this->cluster.getInstances().size());
        for (std::size_t index = 0; index < this->sessions.size(); index++)
            this->connect(index);
    }

    void connect(std::size_t index)
    {
        Endpoint endpoint { "127.0.0.1", static_cast<std::uint16_t>(this->cluster.getInstances()[index].callerPort) };
        this->sessions[index].handle = this->client.connect(endpoint, "/v1/session");
    }

    void onTick()
    {
        double now = this->getElapsed();
        for (std::size_t index = 0; index < this->streams.size(); index++) {
            const StreamPlan& plan = this->streams[index];
            double end = std::min(this->duration, static_cast<double>(plan.end.count()));
            double& due = this->nextDue[index];
            due = std::max(due, static_cast<double>(plan.begin.count()));
            while (due <= now && due < end) {
                this->issueRequest(index, due);
                due += 1000.0 / plan.perSecond;
            }
        }
        this->expirePendingRequests(now);
    }

    void issueRequest(std::size_t stream, double due)
    {
        Pending request;
        request.stream = stream;
        request.scheduledAt = due;
        request.database = this->databases[this->nextBooking % this->databases.size()];
        if (isWrite(this->streams[stream].kind)) {
            request.booking = this->runName + "-" + std::to_string(this->nextBooking);
            if (isKeyed(this->streams[stream].kind))
                request.key = makeKey(request.booking);
        }
        this->nextBooking++;
        this->results[this->streams[stream].name].numArrived++;
        this->numPending++;
        this->send(std::move(request), "");
    }

    /// @returns the next instance with an open session
    std::optional<std::size_t> chooseInstance()
    {
        for (std::size_t count = 0; count < this->sessions.size(); count++) {
            std::size_t index = this->nextInstance++ % this->sessions.size();
            if (this->sessions[index].isOpen)
                return index;
        }
        return std::nullopt;
    }

    void send(Pending request, const std::string& session)
    {
        const StreamPlan& plan = this->streams[request.stream];
        std::optional<std::size_t> instance = this->chooseInstance();
        if (!instance) {
            this->loop.schedule(reconnectDelay, [this, request, session] { this->send(request, session); });
            return;
        }

        std::string id = std::to_string(this->nextId++);
        bool usesOwnDatabase = this->cluster.getSite().separatePools;
        std::string database = usesOwnDatabase ? this->cluster.getInstances()[*instance].id : request.database;
        nlohmann::json message { { "id", id }, { "database", database }, { "rank", toString(plan.rank) }, { "deadline_ms", plan.deadlineMilliseconds },
            { "caller", (plan.callers.empty() ? plan.name : plan.callers) + "-" + std::to_string(this->nextId % static_cast<std::uint64_t>(plan.numCallers)) } };
        bool isBooking = isWrite(plan.kind) && !request.isReadBack;
        if (isBooking)
            message["statements"] = { "INSERT INTO bookings VALUES ('" + request.booking + "', 1)" };
        else if (request.isReadBack)
            message["statements"] = { "SELECT count(*) FROM bookings WHERE id = '" + request.booking + "'" };
        else if (plan.kind == StreamKind::PrimaryRead)
            message["statements"] = { "WITH one AS (SELECT 1) SELECT * FROM one" };
        else
            message["statements"] = { "SELECT 1" };
        if (isBooking && !request.key.empty())
            message["idempotency_key"] = request.key;
        if (plan.kind == StreamKind::BoundedStalenessRead)
            message["max_staleness_ms"] = plan.maximumStalenessMilliseconds;
        if (!session.empty())
            message["session"] = session;

        request.instance = *instance;
        request.sentAt = this->getElapsed();
        this->client.send(this->sessions[*instance].handle, message.dump(), false);
        this->pending[id] = std::move(request);
    }

    void onResponse(Pending request, const nlohmann::json& response)
    {
        std::string outcome = response.value("outcome", "none");
        const StreamPlan& plan = this->streams[request.stream];
        if (outcome == "completed") {
            this->onCompleted(std::move(request), response);
            return;
        }

        bool canRetry = !request.key.empty() && !request.isReadBack && outcome != "rejected" && this->getElapsed() - request.scheduledAt < retryWindowMilliseconds;
        if (!canRetry) {
            if (outcome == "not_run" && !request.booking.empty() && !request.isReadBack && !request.hadUnclearOutcome)
                this->refused.insert(request.booking);
            std::string name = outcome == "not_run" ? "not_run/" + response.value("reason", "") : outcome;
            this->results[plan.name].outcomes[request.isReadBack ? "read_back/" + name : name]++;
            this->numPending--;
            return;
        }

        request.hadUnclearOutcome = request.hadUnclearOutcome || outcome != "not_run";
        this->results[plan.name].numRetries++;
        std::chrono::milliseconds delay(std::clamp<std::int64_t>(response.value("retry_after_ms", 20), 5, 100));
        this->loop.schedule(delay, [this, request] { this->send(request, ""); });
    }

    void onCompleted(Pending request, const nlohmann::json& response)
    {
        const StreamPlan& plan = this->streams[request.stream];
        StreamResult& result = this->results[plan.name];
        if (request.isReadBack) {
            bool isSeen = response.at("results").at(0).at("rows").at(0).at(0) == "1";
            result.numStaleReads += isSeen ? 0 : 1;
            result.outcomes["read_back/completed"]++;
            this->numPending--;
            return;
        }

        result.completed.push_back({ request.scheduledAt, this->getElapsed() - request.scheduledAt });
        result.outcomes["completed"]++;
        if (!request.booking.empty())
            this->acknowledged.insert(request.booking);
        if (plan.kind != StreamKind::WriteThenRead) {
            this->numPending--;
            return;
        }
        request.isReadBack = true;
        this->send(std::move(request), response.value("session", ""));
    }

    void failPendingRequests(std::size_t instance)
    {
        std::vector<std::string> lost;
        for (const std::pair<const std::string, Pending>& entry : this->pending) {
            if (entry.second.instance == instance)
                lost.push_back(entry.first);
        }
        for (const std::string& id : lost)
            this->abandon(id);
    }

    void expirePendingRequests(double now)
    {
        std::vector<std::string> expired;
        for (const std::pair<const std::string, Pending>& entry : this->pending) {
            double limit = this->streams[entry.second.stream].deadlineMilliseconds + responseGraceMilliseconds;
            if (now - entry.second.sentAt > limit)
                expired.push_back(entry.first);
        }
        for (const std::string& id : expired)
            this->abandon(id);
    }

    void abandon(const std::string& id)
    {
        Pending request = std::move(this->pending.at(id));
        this->pending.erase(id);
        this->onResponse(std::move(request), { { "outcome", "lost" } });
    }

    double getElapsed() const
    {
        return std::chrono::duration<double, std::milli>(this->clock.now() - this->startedAt).count();
    }

    Cluster& cluster;
    std::vector<StreamPlan> streams;
    SystemClock clock;
    EventLoop loop;
    WebSocketClient client;
    std::string runName;
    std::vector<std::string> databases;
    std::vector<Session> sessions;
    std::vector<double> nextDue;
    std::unordered_map<std::string, Pending> pending;
    std::map<std::string, StreamResult> results;
    std::set<std::string> acknowledged;
    std::set<std::string> refused;
    std::atomic<std::uint64_t> numPending { 0 };
    std::uint64_t nextId = 1;
    std::uint64_t nextBooking = 1;
    std::size_t nextInstance = 0;
    TimePoint startedAt;
    double duration = 0;
};

LoadGenerator::LoadGenerator(Cluster& cluster, std::vector<StreamPlan> streams)
    : implementation(std::make_unique<Implementation>(cluster, std::move(streams)))
{
}

LoadGenerator::~LoadGenerator() = default;

bool LoadGenerator::prepare()
{
    return this->implementation->prepare();
}

void LoadGenerator::run(std::chrono::milliseconds duration, std::vector<ScriptedStep> steps)
{
    this->implementation->run(duration, std::move(steps));
}

const StreamResult& LoadGenerator::getResult(const std::string& stream) const
{
    return this->implementation->getResult(stream);
}

BookingCheck LoadGenerator::checkBookings()
{
    return this->implementation->checkBookings();
}

} // namespace lentiljunction::lab
