#include "Platform.h"

#include "Sockets.h"

#include <algorithm>
#include <cctype>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

    constexpr int ok = 200;
    constexpr int notFound = 404;
    constexpr int conflict = 409;
    constexpr int gone = 410;
    const std::string objectsPrefix = "/objects/";

    std::string findParameter(const std::string& query, const std::string& name)
    {
        std::istringstream fields(query);
        for (std::string field; std::getline(fields, field, '&');) {
            if (field.rfind(name + "=", 0) == 0)
                return field.substr(name.size() + 1);
        }
        return "";
    }

} // namespace

bool readHttpRequest(int descriptor, std::string& buffer, HttpRequest& request)
{
    request = HttpRequest();
    std::string line;
    if (!takeLine(descriptor, buffer, line))
        return false;
    std::istringstream start(line);
    std::string target;
    start >> request.method >> target;
    request.path = target.substr(0, target.find('?'));
    request.query = request.path.size() < target.size() ? target.substr(request.path.size() + 1) : "";
    while (takeLine(descriptor, buffer, line) && !line.empty()) {
        std::string name = line.substr(0, line.find(':'));
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        std::size_t begin = line.find_first_not_of(' ', name.size() + 1);
        request.headers[name] = begin == std::string::npos ? "" : line.substr(begin);
    }
    std::size_t length = request.headers.count("content-length") > 0 ? std::stoull(request.headers["content-length"]) : 0;
    while (buffer.size() < length) {
        char received[16384];
        ssize_t size = ::read(descriptor, received, sizeof received);
        if (size <= 0)
            return false;
        buffer.append(received, static_cast<std::size_t>(size));
    }
    request.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

std::string makeHttpResponse(int status, const std::string& body, const std::string& header)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\n" + header + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

int getHttpStatus(std::uint16_t port, const std::string& path)
{
    int descriptor = connectToLoopback(port, Milliseconds(1000));
    if (descriptor < 0)
        return 0;
    std::string buffer;
    std::string line;
    bool hasResponse = sendAll(descriptor, "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n") && takeLine(descriptor, buffer, line);
    ::close(descriptor);
    return hasResponse && line.size() > 12 ? std::stoi(line.substr(9, 3)) : 0;
}

std::uint16_t Platform::openStore()
{
    std::uint16_t port = 0;
    int listener = listenOnLoopback(port);
    serve(listener, [this, port](int descriptor) { this->serveStore(descriptor, port); });
    return port;
}

void Platform::serveStore(int descriptor, std::uint16_t port)
{
    std::string buffer;
    HttpRequest request;
    while (readHttpRequest(descriptor, buffer, request)) {
        std::this_thread::sleep_for(this->answerTime);
        // While the store is away, connections end without a response.
        if (this->isAway || !sendAll(descriptor, this->handle(request, port)))
            break;
    }
    ::close(descriptor);
}

void Platform::servePromotions(int listener, PromotionHandler handler)
{
    serve(listener, [this, handler = std::move(handler)](int descriptor) {
        std::string buffer;
        HttpRequest request;
        while (readHttpRequest(descriptor, buffer, request)) {
            nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
            std::string holder = request.headers["lentiljunction-duty-holder"];
            std::string fence = request.headers["lentiljunction-fence-token"];
            int status = notFound;
            if (body.is_object() && !fence.empty()) {
                this->record.write("platform: POST /promotion service=" + body.value("service", "") + " id=" + body.value("id", "") + " holder=" + holder + " fence=" + fence);
                status = handler(body.value("service", ""), body.value("id", ""), holder, std::stoull(fence));
                this->record.write("platform: answers " + std::to_string(status) + " to holder=" + holder + " fence=" + fence);
            }
            std::this_thread::sleep_for(this->answerTime);
            if (!sendAll(descriptor, makeHttpResponse(status, "{}")))
                break;
        }
        ::close(descriptor);
    });
}

void Platform::put(const std::string& kind, const std::string& name, const nlohmann::json& spec)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->store(kind, name, spec);
}

void Platform::remove(const std::string& kind, const std::string& name)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::map<std::string, Object>::iterator found = this->kinds[kind].find(name);
    if (found == this->kinds[kind].end())
        return;
    found->second.revision = ++this->revision;
    this->history.push_back({ this->revision, kind, { { "deleted", true }, { "object", describe(name, found->second) } } });
    this->kinds[kind].erase(found);
    this->changed.notify_all();
}

nlohmann::json Platform::find(const std::string& kind, const std::string& name)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::map<std::string, Object>::const_iterator found = this->kinds[kind].find(name);
    return found == this->kinds[kind].end() ? nlohmann::json() : found->second.spec;
}

void Platform::saveCopy()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->copiedKinds = this->kinds;
    this->copiedRevision = this->revision;
    this->record.write("store: a copy is kept, revision " + std::to_string(this->revision));
}

void Platform::restoreCopy(Milliseconds away)
{
    this->isAway = true;
    this->record.write("store: away");
    std::this_thread::sleep_for(away);
    std::lock_guard<std::mutex> lock(this->mutex);
    std::map<std::string, std::map<std::string, Object>> lost = std::move(this->kinds);
    this->kinds = this->copiedKinds;
    this->revision = this->copiedRevision;
    this->history.clear();
    this->oldestRevision = this->revision + 1;
    this->era++;
    for (const char* kind : { "config", "servers" }) {
        for (const std::pair<const std::string, Object>& object : lost[kind])
            this->store(kind, object.first, object.second.spec);
    }
    this->isAway = false;
    this->changed.notify_all();
    this->record.write("store: back from the copy, revision " + std::to_string(this->copiedRevision) + ", era " + std::to_string(this->era));
}

void Platform::addForeignItem(const std::string& kind, const std::string& text)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->foreignItems[kind].push_back(text);
    this->revision++;
}

void Platform::store(const std::string& kind, const std::string& name, const nlohmann::json& spec)
{
    Object& object = this->kinds[kind][name];
    if (object.revision > 0 && object.spec == spec)
        return;
    object.revision = ++this->revision;
    if (object.createdRevision == 0)
        object.createdRevision = object.revision;
    object.spec = spec;
    this->history.push_back({ this->revision, kind, { { "deleted", false }, { "object", describe(name, object) } } });
    this->changed.notify_all();
}

nlohmann::json Platform::describe(const std::string& name, const Object& object)
{
    nlohmann::json meta { { "name", name }, { "revision", object.revision }, { "created_rev", object.createdRevision }, { "finalizers", nlohmann::json::array() }, { "deletion_pending", false } };
    return { { "meta", meta }, { "spec", object.spec }, { "status", nullptr } };
}

nlohmann::json Platform::listEvents(const std::string& kind, std::uint64_t after) const
{
    nlohmann::json events = nlohmann::json::array();
    for (const Event& event : this->history) {
        if (event.kind == kind && event.revision > after)
            events.push_back(event.content);
    }
    return events;
}

std::string Platform::handle(const HttpRequest& request, std::uint16_t port)
{
    if (request.path.rfind(objectsPrefix, 0) != 0)
        return this->respond(notFound, "{}");
    std::string rest = request.path.substr(objectsPrefix.size());
    std::string kind = rest.substr(0, rest.find('/'));
    std::string name = rest.size() > kind.size() ? rest.substr(kind.size() + 1) : "";
    if (request.method != "GET")
        return this->write(request, kind, name, port);
    if (!findParameter(request.query, "watch").empty())
        return this->watch(kind, request.query);
    if (name.empty())
        return this->list(kind);
    std::lock_guard<std::mutex> lock(this->mutex);
    std::map<std::string, Object>::const_iterator found = this->kinds[kind].find(name);
    return found == this->kinds[kind].end() ? this->respond(notFound, "{}") : this->respond(ok, describe(name, found->second).dump());
}

std::string Platform::list(const std::string& kind)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::string items;
    for (const std::pair<const std::string, Object>& object : this->kinds[kind])
        items += (items.empty() ? "" : ",") + describe(object.first, object.second).dump();
    for (const std::string& foreign : this->foreignItems[kind])
        items += (items.empty() ? "" : ",") + foreign;
    return this->respond(ok, "{\"items\":[" + items + "],\"has_more\":false,\"at_rev\":" + std::to_string(this->revision) + "}");
}

std::string Platform::watch(const std::string& kind, const std::string& query)
{
    std::uint64_t after = std::stoull(findParameter(query, "watch"));
    Milliseconds wait(std::stoll("0" + findParameter(query, "wait_ms")));
    std::unique_lock<std::mutex> lock(this->mutex);
    std::uint64_t startedIn = this->era;
    if (after >= this->oldestRevision && after <= this->revision)
        this->changed.wait_for(lock, wait, [&] { return this->era != startedIn || !this->listEvents(kind, after).empty(); });
    if (after < this->oldestRevision || after > this->revision || this->era != startedIn)
        return this->respond(gone, "{}");
    nlohmann::json content { { "events", this->listEvents(kind, after) }, { "at_rev", this->revision } };
    return this->respond(ok, content.dump());
}

std::string Platform::write(const HttpRequest& request, const std::string& kind, const std::string& name, std::uint16_t port)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    bool isValid = body.is_object() && body.contains("meta") && body["meta"].is_object() && body.contains("spec");
    if (!isValid)
        return this->respond(400, "{}");
    std::string target = name.empty() ? body["meta"].value("name", "") : name;
    std::map<std::string, Object>& objects = this->kinds[kind];
    std::map<std::string, Object>::const_iterator found = objects.find(target);
    bool isCreating = request.method == "POST";
    if (!isCreating && found == objects.end())
        return this->respond(notFound, "{}");
    std::uint64_t expected = body["meta"].value("revision", std::uint64_t(0));
    bool isConflict = isCreating ? found != objects.end() : expected > 0 && expected != found->second.revision;
    if (isConflict)
        return this->respond(conflict, describe(target, found->second).dump());
    if (expected > 0) {
        this->lastConditionalWriter = port;
        this->numConditionalWrites++;
    }
    this->store(kind, target, body["spec"]);
    return this->respond(ok, describe(target, objects[target]).dump());
}

} // namespace review
