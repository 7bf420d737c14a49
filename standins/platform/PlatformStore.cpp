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
    constexpr std::chrono::seconds lateWriteDelay { 1 };
    const std::string objectsPrefix = "/objects/";

    HttpResponse respondWith(int status, const std::string& body = "{}")
    {
        return { status, "application/json", body };
    }

    /// Decodes the escape sequences of a name in a path or query.
    std::string decodeName(const std::string& text)
    {
        constexpr int hexadecimal = 16;
        std::string name;
        for (std::size_t index = 0; index < text.size(); index++) {
            bool isEscaped = text[index] == '%' && index + 2 < text.size();
            name.push_back(isEscaped ? static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, hexadecimal)) : text[index]);
            index += isEscaped ? 2 : 0;
        }
        return name;
    }

    std::string makeArray(const std::vector<std::string>& texts)
    {
        std::string array = "[";
        for (const std::string& text : texts)
            array += (array.size() == 1 ? "" : ",") + text;
        return array + "]";
    }

    /// @returns the value of a query parameter, or an empty string
    std::string findParameter(const std::string& query, const std::string& name)
    {
        std::size_t begin = query.find(name + "=");
        if (begin == std::string::npos)
            return "";
        begin += name.size() + 1;
        return query.substr(begin, query.find('&', begin) - begin);
    }

} // namespace

/// One port of the store, with a fault of its own.
class PlatformStore::Port : private WebSocketServer::Listener {
public:
    Port(EventLoop& loop, PlatformStore& store)
        : server(loop, *this)
        , store(store)
    {
    }

    void respond(WebSocketServer::Handle handle, HttpResponse response)
    {
        response.headers["Store-Era"] = std::to_string(this->store.era);
        this->server.respond(handle, response);
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
    this->ports.push_back(std::make_unique<Port>(this->loop, *this));
    this->ports.back()->fault = this->faultOfNewPorts.load();
    return this->ports.back()->server.listen(endpoint, failure);
}

void PlatformStore::setFault(Fault fault)
{
    this->faultOfNewPorts = fault;
    for (const std::unique_ptr<Port>& port : this->ports)
        port->fault = fault;
}

void PlatformStore::setPortFault(std::size_t port, Fault fault)
{
    this->ports[port]->fault = fault;
}

std::size_t PlatformStore::countReads(std::size_t port, const std::string& kind)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->numReads[{ this->ports[port].get(), kind }];
}

void PlatformStore::put(const std::string& kind, const std::string& name, const nlohmann::json& spec)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->store(kind, name, spec, spec.dump());
}

void PlatformStore::putRaw(const std::string& kind, const std::string& name, const std::string& specText)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->store(kind, name, nullptr, specText);
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
    this->endWatches();
}

void PlatformStore::saveCopy()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->copiedKinds = this->kinds;
    this->copiedRevision = this->revision;
}

void PlatformStore::restoreCopy()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->kinds = this->copiedKinds;
    this->revision = this->copiedRevision;
    this->era++;
    this->endWatches();
}

void PlatformStore::endWatches()
{
    this->history.clear();
    this->oldestRevisionKept = this->revision + 1;
    std::vector<Watch> cancelledWatches = std::exchange(this->watches, {});
    this->loop.post([cancelledWatches] {
        for (const Watch& watch : cancelledWatches)
            watch.port->respond(watch.handle, respondWith(gone));
    });
}

void PlatformStore::store(const std::string& kind, const std::string& name, const nlohmann::json& spec, const std::string& specText)
{
    Object& object = this->kinds[kind][name];
    object = { ++this->revision, spec, specText };
    this->history.push_back({ this->revision, kind, R"({"deleted":false,"object":)" + describe(name, object) + "}" });
    this->loop.post([this] { this->completeWatches(); });
}

std::string PlatformStore::describe(const std::string& name, const Object& object)
{
    return R"({"meta":{"name":")" + name + R"(","revision":)" + std::to_string(object.revision) + R"(},"spec":)" + object.specText + R"(,"status":null})";
}

std::vector<std::string> PlatformStore::listEvents(const std::string& kind, std::uint64_t after) const
{
    std::vector<std::string> events;
    for (const Event& event : this->history) {
        if (event.kind == kind && event.revision > after)
            events.push_back(event.text);
    }
    return events;
}

HttpResponse PlatformStore::makeEventsResponse(const std::vector<std::string>& events) const
{
    return respondWith(ok, R"({"events":)" + makeArray(events) + R"(,"at_rev":)" + std::to_string(this->revision) + "}");
}

void PlatformStore::completeWatches()
{
    std::vector<std::pair<Watch, HttpResponse>> responses;
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        std::vector<Watch>::iterator firstReady = std::partition(this->watches.begin(), this->watches.end(), [this](const Watch& watch) {
            return this->listEvents(watch.kind, watch.after).empty();
        });
        for (std::vector<Watch>::iterator watch = firstReady; watch != this->watches.end(); ++watch)
            responses.emplace_back(*watch, this->makeEventsResponse(this->listEvents(watch->kind, watch->after)));
        this->watches.erase(firstReady, this->watches.end());
    }
    for (const std::pair<Watch, HttpResponse>& answer : responses)
        this->sendResponse(*answer.first.port, answer.first.handle, answer.second);
}

void PlatformStore::sendResponse(Port& port, WebSocketServer::Handle handle, const HttpResponse& response)
{
    Fault currentFault = port.fault;
    if (currentFault == Fault::Silent)
        return;
    bool isRefused = currentFault == Fault::Unavailable || currentFault == Fault::TooManyRequests;
    port.respond(handle, isRefused ? respondWith(currentFault == Fault::TooManyRequests ? tooMany : unavailable) : response);
}

void PlatformStore::startWatch(Port& port, WebSocketServer::Handle handle, const std::string& kind, const std::string& query)
{
    std::uint64_t after = std::stoull(findParameter(query, "watch"));
    std::chrono::milliseconds wait(std::stoll("0" + findParameter(query, "wait_ms")));
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        if (after + 1 < this->oldestRevisionKept || after > this->revision)
            return port.respond(handle, respondWith(gone));
        this->watches.push_back({ &port, handle, kind, after });
    }
    this->completeWatches();
    this->loop.schedule(wait, [this, &port, handle] {
        std::lock_guard<std::mutex> lock(this->mutex);
        std::vector<Watch>::iterator found = std::find_if(this->watches.begin(), this->watches.end(), [&port, handle](const Watch& watch) { return watch.port == &port && watch.handle == handle; });
        if (found == this->watches.end())
            return;
        this->watches.erase(found);
        this->sendResponse(port, handle, this->makeEventsResponse({}));
    });
}

HttpResponse PlatformStore::handleRead(const std::string& kind, const std::string& name, const std::string& after)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::map<std::string, Object>& objects = this->kinds[kind];
    if (name.empty()) {
        std::vector<std::string> items;
        std::map<std::string, Object>::const_iterator object = after.empty() ? objects.begin() : objects.upper_bound(after);
        for (; object != objects.end() && items.size() < this->pageSize; ++object)
            items.push_back(describe(object->first, object->second));
        return respondWith(ok, R"({"items":)" + makeArray(items) + R"(,"has_more":)" + (object == objects.end() ? "false" : "true") + R"(,"at_rev":)" + std::to_string(this->revision) + "}");
    }
    std::map<std::string, Object>::const_iterator found = objects.find(name);
    return found == objects.end() ? respondWith(notFound) : respondWith(ok, describe(name, found->second));
}

HttpResponse PlatformStore::handleRemoval(const std::string& query, const std::string& kind, const std::string& name)
{
    std::string expected = findParameter(query, "revision");
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        std::map<std::string, Object>& objects = this->kinds[kind];
        std::map<std::string, Object>::iterator found = objects.find(name);
        if (found == objects.end())
            return respondWith(notFound);
        if (!expected.empty() && expected != std::to_string(found->second.revision))
            return respondWith(conflict, describe(name, found->second));
    }
    this->remove(kind, name);
    return respondWith(ok);
}

HttpResponse PlatformStore::handleWrite(const HttpRequest& request, const std::string& kind, const std::string& name)
{
    if (request.method == "DELETE")
        return this->handleRemoval(request.path.substr(std::min(request.path.size(), request.path.find('?') + 1)), kind, name);
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
        return respondWith(conflict, describe(target, found->second));
    this->store(kind, target, body["spec"], body["spec"].dump());
    return respondWith(ok, describe(target, objects[target]));
}

void PlatformStore::handlePromotion(Port& port, WebSocketServer::Handle handle, const HttpRequest& request)
{
    nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !this->promotionHandler)
        return port.respond(handle, respondWith(badRequest));
    this->promotionHandler(body.value("service", ""), body.value("id", ""), [&port, handle](int status) {
        Fault currentFault = port.fault;
        // The call may have been carried out, so a refusal would be untrue.
        if (currentFault == Fault::None || currentFault == Fault::DropsResponses || currentFault == Fault::LateWrites)
            port.respond(handle, respondWith(status));
    });
}

void PlatformStore::onRequest(Port& port, WebSocketServer::Handle handle, const HttpRequest& request)
{
    Fault currentFault = port.fault;
    if (currentFault == Fault::Silent || currentFault == Fault::Unavailable || currentFault == Fault::TooManyRequests)
        return this->sendResponse(port, handle, HttpResponse());
    std::string path = request.path.substr(0, request.path.find('?'));
    std::string query = request.path.substr(std::min(request.path.size(), path.size() + 1));
    if (path == "/promotion")
        return this->handlePromotion(port, handle, request);
    if (path.rfind(objectsPrefix, 0) != 0)
        return port.respond(handle, respondWith(notFound));

    std::string rest = path.substr(objectsPrefix.size());
    std::string kind = rest.substr(0, rest.find('/'));
    std::string name = rest.size() > kind.size() ? decodeName(rest.substr(kind.size() + 1)) : "";
    if (request.method == "GET" && !findParameter(query, "watch").empty())
        return this->startWatch(port, handle, kind, query);
    if (request.method == "GET") {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->numReads[{ &port, kind }]++;
    }
    if (currentFault == Fault::LateWrites && request.method != "GET") {
        this->loop.schedule(lateWriteDelay, [this, request, kind, name] { this->handleWrite(request, kind, name); });
        return;
    }
    HttpResponse response = request.method == "GET" ? this->handleRead(kind, name, decodeName(findParameter(query, "after"))) : this->handleWrite(request, kind, name);
    if (currentFault != Fault::DropsResponses || request.method == "GET")
        port.respond(handle, response);
}

} // namespace lentiljunction::standin
