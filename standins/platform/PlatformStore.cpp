#include "PlatformStore.h"

#include <algorithm>
#include <atomic>
#include <utility>

namespace lentiljunction::standin {

namespace {

    constexpr int ok = 200;
    constexpr int badRequest = 400;
    constexpr int notFound = 404;
    constexpr int conflict = 409;
    constexpr int gone = 410;
    constexpr int tooMany = 429;
    constexpr int unavailable = 503;
    constexpr std::chrono::seconds lateness { 1 };
    const std::string objectsPrefix = "/objects/";

    HttpResponse respondWith(int status, const nlohmann::json& body = nlohmann::json::object())
    {
        return { status, "application/json", body.dump() };
    }

    /// @returns the value of a query parameter, or an empty text
    std::string findParameter(const std::string& query, const std::string& name)
    {
        std::size_t begin = query.find(name + "=");
        if (begin == std::string::npos)
            return "";
        begin += name.size() + 1;
        return query.substr(begin, query.find('&', begin) - begin);
    }

} // namespace

/// One port of the store.
class PlatformStore::Door : private WebSocketServer::Listener {
public:
    Door(EventLoop& loop, PlatformStore& store)
        : server(loop, *this)
        , store(store)
    {
    }

    WebSocketServer server;
    std::atomic<Fault> fault { Fault::None };

private:
    void onSessionOpened(WebSocketServer::Handle, const std::string&) override { }
    void onSessionMessage(WebSocketServer::Handle, const std::string&, bool) override { }
    void onSessionClosed(WebSocketServer::Handle) override { }
    void onHttpRequest(WebSocketServer::Handle handle, const HttpRequest& request) override { this->store.onRequest(*this, handle, request); }

    PlatformStore& store;
};

PlatformStore::PlatformStore(EventLoop& loop)
    : loop(loop)
{
}

PlatformStore::~PlatformStore() = default;

bool PlatformStore::listen(const Endpoint& endpoint, Failure& failure)
{
    this->doors.push_back(std::make_unique<Door>(this->loop, *this));
    return this->doors.back()->server.listen(endpoint, failure);
}

void PlatformStore::setFault(Fault fault)
{
    for (const std::unique_ptr<Door>& door : this->doors)
        door->fault = fault;
}

void PlatformStore::setPortFault(std::size_t door, Fault fault)
{
    this->doors[door]->fault = fault;
}

void PlatformStore::put(const std::string& kind, const std::string& name, const nlohmann::json& spec)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->store(kind, name, spec);
}

void PlatformStore::remove(const std::string& kind, const std::string& name)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->kinds[kind].erase(name);
    this->revision++;
}

nlohmann::json PlatformStore::read(const std::string& kind, const std::string& name)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::map<std::string, Object>& objects = this->kinds[kind];
    std::map<std::string, Object>::const_iterator found = objects.find(name);
    return found == objects.end() ? nlohmann::json() : found->second.spec;
}

std::vector<nlohmann::json> PlatformStore::list(const std::string& kind)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<nlohmann::json> specs;
    for (const std::pair<const std::string, Object>& object : this->kinds[kind])
        specs.push_back(object.second.spec);
    return specs;
}

void PlatformStore::compact()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->history.clear();
    this->oldestKept = this->revision + 1;
    std::vector<Watch> cut = std::exchange(this->watches, {});
    this->loop.post([cut] {
        for (const Watch& watch : cut)
            watch.door->server.respond(watch.handle, respondWith(gone));
    });
}

void PlatformStore::store(const std::string& kind, const std::string& name, const nlohmann::json& spec)
{
    Object& object = this->kinds[kind][name];
    object = { ++this->revision, spec };
    this->history.push_back({ this->revision, kind, { { "deleted", false }, { "object", this->describe(name, object) } } });
    this->loop.post([this] { this->answerWatches(); });
}

nlohmann::json PlatformStore::describe(const std::string& name, const Object& object) const
{
    return { { "meta", { { "name", name }, { "revision", object.revision } } }, { "spec", object.spec }, { "status", nullptr } };
}

nlohmann::json PlatformStore::listEvents(const std::string& kind, std::uint64_t after) const
{
    nlohmann::json events = nlohmann::json::array();
    for (const Event& event : this->history) {
        if (event.kind == kind && event.revision > after)
            events.push_back(event.content);
    }
    return events;
}

void PlatformStore::answerWatches()
{
    std::vector<std::pair<Watch, HttpResponse>> answers;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        std::vector<Watch>::iterator waiting = std::partition(this->watches.begin(), this->watches.end(), [this](const Watch& watch) {
            return this->listEvents(watch.kind, watch.after).empty();
        });
        for (std::vector<Watch>::iterator watch = waiting; watch != this->watches.end(); ++watch)
            answers.emplace_back(*watch, respondWith(ok, { { "events", this->listEvents(watch->kind, watch->after) }, { "at_rev", this->revision } }));
        this->watches.erase(waiting, this->watches.end());
    }
    for (const std::pair<Watch, HttpResponse>& answer : answers)
        this->answerThroughDoor(*answer.first.door, answer.first.handle, answer.second);
}

void PlatformStore::answerThroughDoor(Door& door, WebSocketServer::Handle handle, const HttpResponse& response)
{
    Fault now = door.fault;
    if (now == Fault::Silent)
        return;
    bool isRefused = now == Fault::Unavailable || now == Fault::TooManyRequests;
    door.server.respond(handle, isRefused ? respondWith(now == Fault::TooManyRequests ? tooMany : unavailable) : response);
}

void PlatformStore::startWatch(Door& door, WebSocketServer::Handle handle, const std::string& kind, const std::string& query)
{
    std::uint64_t after = std::stoull(findParameter(query, "watch"));
    std::chrono::milliseconds wait(std::stoll("0" + findParameter(query, "wait_ms")));
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (after + 1 < this->oldestKept)
            return door.server.respond(handle, respondWith(gone));
        this->watches.push_back({ &door, handle, kind, after });
    }
    this->answerWatches();
    this->loop.schedule(wait, [this, &door, handle] {
        std::lock_guard<std::mutex> lock(this->mutex);
        std::vector<Watch>::iterator found = std::find_if(this->watches.begin(), this->watches.end(), [&door, handle](const Watch& watch) { return watch.door == &door && watch.handle == handle; });
        if (found == this->watches.end())
            return;
        this->watches.erase(found);
        this->answerThroughDoor(door, handle, respondWith(ok, { { "events", nlohmann::json::array() }, { "at_rev", this->revision } }));
    });
}

HttpResponse PlatformStore::answerRead(const std::string& kind, const std::string& name)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::map<std::string, Object>& objects = this->kinds[kind];
    if (name.empty()) {
        nlohmann::json items = nlohmann::json::array();
        for (const std::pair<const std::string, Object>& object : objects)
            items.push_back(this->describe(object.first, object.second));
        return respondWith(ok, { { "items", items }, { "has_more", false }, { "at_rev", this->revision } });
    }
    std::map<std::string, Object>::const_iterator found = objects.find(name);
    return found == objects.end() ? respondWith(notFound) : respondWith(ok, this->describe(name, found->second));
}

HttpResponse PlatformStore::answerWrite(const HttpRequest& request, const std::string& kind, const std::string& name)
{
    nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("meta") || !body["meta"].contains("name") || !body.contains("spec"))
        return respondWith(badRequest);
    std::lock_guard<std::mutex> lock(this->mutex);
    std::string target = name.empty() ? body["meta"]["name"].get<std::string>() : name;
    std::map<std::string, Object>& objects = this->kinds[kind];
    std::map<std::string, Object>::iterator found = objects.find(target);
    bool isCreating = request.method == "POST";
    if (!isCreating && found == objects.end())
        return respondWith(notFound);
    std::uint64_t expected = body["meta"].value("revision", std::uint64_t(0));
    bool isConflict = isCreating ? found != objects.end() : expected > 0 && expected != found->second.revision;
    if (isConflict)
        return respondWith(conflict, this->describe(target, found->second));
    this->store(kind, target, body["spec"]);
    return respondWith(ok, this->describe(target, objects[target]));
}

HttpResponse PlatformStore::answerPromotion(const HttpRequest& request)
{
    nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !this->promoter)
        return respondWith(badRequest);
    return respondWith(this->promoter(body.value("service", ""), body.value("id", "")));
}

void PlatformStore::onRequest(Door& door, WebSocketServer::Handle handle, const HttpRequest& request)
{
    Fault now = door.fault;
    if (now == Fault::Silent || now == Fault::Unavailable || now == Fault::TooManyRequests)
        return this->answerThroughDoor(door, handle, HttpResponse());
    std::string path = request.path.substr(0, request.path.find('?'));
    std::string query = request.path.substr(std::min(request.path.size(), path.size() + 1));
    if (path == "/promotion")
        return door.server.respond(handle, this->answerPromotion(request));
    if (path.rfind(objectsPrefix, 0) != 0)
        return door.server.respond(handle, respondWith(notFound));

    std::string rest = path.substr(objectsPrefix.size());
    std::string kind = rest.substr(0, rest.find('/'));
    std::string name = rest.size() > kind.size() ? rest.substr(kind.size() + 1) : "";
    if (request.method == "GET" && !findParameter(query, "watch").empty())
        return this->startWatch(door, handle, kind, query);
    if (now == Fault::LateWrites && request.method != "GET") {
        this->loop.schedule(lateness, [this, request, kind, name] { this->answerWrite(request, kind, name); });
        return;
    }
    HttpResponse response = request.method == "GET" ? this->answerRead(kind, name) : this->answerWrite(request, kind, name);
    if (now != Fault::DropsResponses || request.method == "GET")
        door.server.respond(handle, response);
}

} // namespace lentiljunction::standin
