#include "CallerServer.h"

#include "lentiljunction/caller/RequestCodec.h"
#include "lentiljunction/core/Cbor.h"
#include "lentiljunction/core/Json.h"
#include "lentiljunction/core/Threads.h"

#include <oneapi/tbb/task_arena.h>
#include <oneapi/tbb/task_scheduler_observer.h>
#include <utility>

namespace lentiljunction {

namespace {

    /// Further requests of a session are rejected until responses were sent.
    constexpr std::size_t maximumInFlightPerSession = 4096;
    constexpr int httpOk = 200;
    constexpr int httpNotFound = 404;
    constexpr int httpMethodNotAllowed = 405;
    constexpr int httpTooLarge = 413;
    constexpr int httpUnavailable = 503;

    /// @returns a response to an invalid message, with the message's id if it has one
    CallerResponse makeInvalidRequestResponse(const nlohmann::json& document, const std::string& reason)
    {
        CallerResponse response;
        if (document.is_object() && document.contains("id") && document.at("id").is_string())
            response.id = RequestId(document.at("id").get<std::string>());
        response.outcome = Outcome::notRun(NotRunReason::InvalidRequest, reason, std::chrono::milliseconds(0));
        return response;
    }

    std::string toPayload(const nlohmann::json& document, bool isCbor)
    {
        if (!isCbor)
            return toJsonText(document);
        std::string payload;
        nlohmann::json::to_cbor(document, payload);
        return payload;
    }

    std::string getPath(const std::string& resource)
    {
        return resource.substr(0, resource.find('?'));
    }

} // namespace

class CallerServer::Workers {
public:
    explicit Workers(int numWorkers)
        : arena(numWorkers, 0)
        , signalStacks(this->arena)
    {
    }

    oneapi::tbb::task_arena arena;

private:
    /// Gives each thread of the arena a stack for its signal handlers.
    class SignalStacks : public oneapi::tbb::task_scheduler_observer {
    public:
        explicit SignalStacks(oneapi::tbb::task_arena& arena)
            : task_scheduler_observer(arena)
        {
            this->observe(true);
        }

        ~SignalStacks() override { this->observe(false); }
        SignalStacks(const SignalStacks&) = delete;
        SignalStacks& operator=(const SignalStacks&) = delete;

        void on_scheduler_entry(bool) override // NOLINT(readability-identifier-naming): named by oneTBB
        {
            thread_local SignalStack stack;
        }
    };

    SignalStacks signalStacks;
};

CallerServer::CallerServer(EventLoop& loop, int numWorkers, Listener& listener)
    : loop(loop)
    , listener(listener)
    , workers(std::make_unique<Workers>(numWorkers))
    , server(loop, *this)
{
}

CallerServer::~CallerServer() = default;

bool CallerServer::listen(const Endpoint& endpoint, Failure& failure)
{
    return this->server.listen(endpoint, failure);
}

void CallerServer::onSessionOpened(WebSocketServer::Handle handle, const std::string& resource)
{
    if (getPath(resource) == "/v1/session")
        this->sessions[handle] = 0;
    else
        this->server.close(handle);
}

void CallerServer::onSessionMessage(WebSocketServer::Handle handle, const std::string& payload, bool isBinary)
{
    std::map<WebSocketServer::Handle, std::size_t>::iterator session = this->sessions.find(handle);
    if (session == this->sessions.end())
        return;

    ReplyHandler reply = [this, handle, isBinary](const std::string& response) {
        std::map<WebSocketServer::Handle, std::size_t>::iterator open = this->sessions.find(handle);
        if (open != this->sessions.end())
            open->second--;
        this->server.send(handle, response, isBinary);
    };
    session->second++;
    if (session->second > maximumInFlightPerSession)
        this->rejectMessage(payload, isBinary, reply);
    else
        this->decode(payload, isBinary ? Format::Cbor : Format::Json, "session-" + std::to_string(handle), reply);
}

void CallerServer::rejectMessage(const std::string& payload, bool isCbor, const ReplyHandler& reply)
{
    nlohmann::json document = isCbor ? parseCbor(payload) : parseJson(payload);
    CallerResponse rejection = makeInvalidRequestResponse(document, "the session has " + std::to_string(maximumInFlightPerSession) + " requests in flight");
    rejection.outcome.reason = NotRunReason::QueueFull;
    rejection.outcome.retryAfter = std::chrono::milliseconds(100);
    reply(toPayload(toJson(rejection), isCbor));
}

void CallerServer::onSessionClosed(WebSocketServer::Handle handle)
{
    // Requests in flight still run; their responses are discarded because the session is gone.
    this->sessions.erase(handle);
}

void CallerServer::onHttpRequest(WebSocketServer::Handle handle, const HttpRequest& request)
{
    std::string path = getPath(request.path);
    if (path == "/v1/execute") {
        this->onExecute(handle, request);
    } else if (path == "/healthz") {
        this->server.respond(handle, { httpOk, "text/plain", "ok\n" });
    } else if (path == "/readyz") {
        bool isReady = this->listener.isReady();
        this->server.respond(handle, { isReady ? httpOk : httpUnavailable, "text/plain", isReady ? "ready\n" : "not ready\n" });
    } else if (path == "/metrics") {
        this->server.respond(handle, { httpOk, "text/plain; version=0.0.4", this->listener.getMetrics() });
    } else if (path == "/v1/status") {
        this->listener.describe([this, handle](const std::string& text) { this->server.respond(handle, { httpOk, "application/json", text }); });
    } else {
        this->server.respond(handle, { httpNotFound, "application/json", "{\"error\":\"no such path; see /v1/execute, /v1/session, /v1/status, /healthz, /readyz, /metrics\"}\n" });
    }
}

void CallerServer::onExecute(WebSocketServer::Handle handle, const HttpRequest& request)
{
    if (request.method != "POST") {
        this->server.respond(handle, { httpMethodNotAllowed, "application/json", "{\"error\":\"use POST\"}\n" });
        return;
    }
    if (static_cast<std::int64_t>(request.body.size()) > this->limits.maximumBodyBytes) {
        CallerResponse rejection = makeInvalidRequestResponse(nlohmann::json(), "the body must be at most " + std::to_string(this->limits.maximumBodyBytes) + " bytes");
        this->server.respond(handle, { httpTooLarge, "application/json", toJsonText(toJson(rejection)) + "\n" });
        return;
    }
    this->decode(request.body, Format::Json, "", [this, handle](const std::string& reply) {
        this->server.respond(handle, { httpOk, "application/json", reply + "\n" });
    });
}

void CallerServer::decode(const std::string& payload, Format format, const std::string& caller, ReplyHandler reply)
{
    bool isCbor = format == Format::Cbor;
    if (static_cast<std::int64_t>(payload.size()) > this->limits.maximumBodyBytes) {
        CallerResponse rejection = makeInvalidRequestResponse(nlohmann::json(), "the message must be at most " + std::to_string(this->limits.maximumBodyBytes) + " bytes");
        reply(toPayload(toJson(rejection), isCbor));
        return;
    }

    this->numUnanswered++;
    this->workers->arena.enqueue([this, payload, format, isCbor, caller, currentLimits = this->limits, reply = std::move(reply)] {
        nlohmann::json document = isCbor ? parseCbor(payload) : parseJson(payload);
        Failure failure;
        std::optional<Request> request;
        if (document.is_discarded())
            failure.set(Failure::Kind::InvalidInput, isCbor ? "the message is not CBOR" : "the body is not JSON");
        else
            request = parseRequest(document, currentLimits, failure);

        if (!request) {
            std::string rejection = toPayload(toJson(makeInvalidRequestResponse(document, failure.reason)), isCbor);
            this->loop.post([this, reply, rejection] { this->reply(reply, rejection); });
            return;
        }
        if (request->caller.isEmpty())
            request->caller = CallerId(caller);
        this->loop.post([this, request = std::move(*request), format, reply] { this->runDecoded(request, format, reply); });
    });
}

void CallerServer::runDecoded(Request request, Format format, ReplyHandler reply)
{
    this->listener.onRequest(std::move(request), [this, format, reply = std::move(reply)](const CallerResponse& response) {
        this->workers->arena.enqueue([this, format, reply, response] {
            std::string payload = toPayload(toJson(response), format == Format::Cbor);
            this->loop.post([this, reply, payload] { this->reply(reply, payload); });
        });
    });
}

void CallerServer::reply(const ReplyHandler& handler, const std::string& payload)
{
    this->numUnanswered--;
    handler(payload);
}

} // namespace lentiljunction
