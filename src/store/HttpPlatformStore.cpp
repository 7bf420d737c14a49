#include "HttpPlatformStore.h"

#include "lentiljunction/core/Json.h"
#include "lentiljunction/core/JsonFields.h"
#include "lentiljunction/core/LogEvents.h"

#include <httplib.h>
#include <limits>
#include <utility>

namespace lentiljunction {

namespace {

    constexpr std::chrono::milliseconds connectTimeout { 500 };
    constexpr std::chrono::milliseconds responseTimeout { 1500 };
    constexpr int httpOk = 200;
    constexpr int httpNotFound = 404;
    constexpr int httpConflict = 409;

    std::unique_ptr<httplib::Client> makeClient(const Endpoint& endpoint, std::chrono::milliseconds timeout)
    {
        std::unique_ptr<httplib::Client> client = std::make_unique<httplib::Client>(endpoint.host, endpoint.port);
        client->set_connection_timeout(connectTimeout);
        client->set_read_timeout(timeout);
        client->set_write_timeout(responseTimeout);
        return client;
    }

    std::string appendQuery(const std::string& path, const httplib::Params& parameters)
    {
        return httplib::append_query_params(path, parameters);
    }

    bool checkResponse(const httplib::Result& result, int expected, Failure& failure, Failure::Kind kindWithoutResponse)
    {
        if (!result) {
            failure.set(kindWithoutResponse, "the store did not respond: " + httplib::to_string(result.error()));
            return false;
        }
        if (result->status == expected)
            return true;

        // As with a lost response, the store may have applied an update before it reported an error.
        Failure::Kind kind = kindWithoutResponse;
        if (result->status == httpNotFound)
            kind = Failure::Kind::NotFound;
        if (result->status == httpConflict)
            kind = Failure::Kind::Conflict;
        failure.set(kind, "the store responded with HTTP status " + std::to_string(result->status));
        return false;
    }

    std::optional<nlohmann::json> parseBody(const std::string& body, Failure& failure)
    {
        nlohmann::json document = parseJson(body);
        if (document.is_object())
            return document;
        failure.set(Failure::Kind::Unavailable, "the store's response is not a JSON object");
        return std::nullopt;
    }

    constexpr std::int64_t noLimit = std::numeric_limits<std::int64_t>::max();

    std::optional<StoreObject> readObject(const nlohmann::json& document, Failure& failure)
    {
        std::vector<std::string> faults;
        JsonFields fields(document, "object", faults);
        StoreObject object { fields.getText("key"), StoreVersion(static_cast<std::uint64_t>(fields.getInteger("version", 0, noLimit))), fields.getText("value") };
        if (faults.empty())
            return object;
        failure.set(Failure::Kind::Unavailable, "the store's response is malformed: " + joinFaults(faults));
        return std::nullopt;
    }

    /// @returns a number of a response, such as a revision
    std::optional<std::uint64_t> readNumber(const nlohmann::json& document, const char* name, Failure& failure)
    {
        std::vector<std::string> faults;
        JsonFields fields(document, "response", faults);
        std::int64_t number = fields.getInteger(name, 0, noLimit);
        if (faults.empty())
            return static_cast<std::uint64_t>(number);
        failure.set(Failure::Kind::Unavailable, "the store's response is malformed: " + joinFaults(faults));
        return std::nullopt;
    }

    /// @returns an array of a response, or nullptr
    const nlohmann::json* readArray(const nlohmann::json& document, const char* name, Failure& failure)
    {
        nlohmann::json::const_iterator found = document.find(name);
        if (found != document.end() && found->is_array())
            return &*found;
        failure.set(Failure::Kind::Unavailable, std::string("the store's response has no array ") + name);
        return nullptr;
    }

} // namespace

HttpPlatformStore::HttpPlatformStore(Endpoint endpoint, std::string origin, Metrics* metrics)
    : endpoint(std::move(endpoint))
    , origin(std::move(origin))
    , metrics(metrics)
{
}

std::optional<StoreObject> HttpPlatformStore::get(const std::string& key, Failure& failure)
{
    std::unique_ptr<httplib::Client> client = makeClient(this->endpoint, responseTimeout);
    httplib::Result result = client->Get(appendQuery("/v1/object", { { "key", key } }), { { "X-Origin", this->origin } });
    this->count("get", static_cast<bool>(result));
    if (!checkResponse(result, httpOk, failure, Failure::Kind::Unavailable))
        return std::nullopt;

    std::optional<nlohmann::json> document = parseBody(result->body, failure);
    if (!document)
        return std::nullopt;
    return readObject(*document, failure);
}

std::optional<StoreVersion> HttpPlatformStore::put(const std::string& key, StoreVersion expected, const std::string& value, Failure& failure)
{
    std::unique_ptr<httplib::Client> client = makeClient(this->endpoint, responseTimeout);
    std::string path = appendQuery("/v1/object", { { "key", key }, { "if_version", std::to_string(expected.value()) } });
    httplib::Result result = client->Put(path, { { "X-Origin", this->origin } }, value, "application/octet-stream");
    this->count("put", static_cast<bool>(result));

    bool neverConnected = result.error() == httplib::Error::Connection || result.error() == httplib::Error::ConnectionTimeout;
    Failure::Kind kindWithoutResponse = neverConnected ? Failure::Kind::Unavailable : Failure::Kind::InDoubt;
    if (!checkResponse(result, httpOk, failure, kindWithoutResponse))
        return std::nullopt;

    std::optional<nlohmann::json> document = parseBody(result->body, failure);
    if (!document)
        return std::nullopt;
    std::optional<std::uint64_t> version = readNumber(*document, "version", failure);
    // The write took effect, whatever the response names.
    if (!version)
        failure.kind = Failure::Kind::InDoubt;
    return version ? std::optional<StoreVersion>(StoreVersion(*version)) : std::nullopt;
}

std::optional<std::vector<std::string>> HttpPlatformStore::list(const std::string& prefix, Failure& failure)
{
    std::unique_ptr<httplib::Client> client = makeClient(this->endpoint, responseTimeout);
    httplib::Result result = client->Get(appendQuery("/v1/list", { { "prefix", prefix } }), { { "X-Origin", this->origin } });
    this->count("list", static_cast<bool>(result));
    if (!checkResponse(result, httpOk, failure, Failure::Kind::Unavailable))
        return std::nullopt;

    std::optional<nlohmann::json> document = parseBody(result->body, failure);
    if (!document)
        return std::nullopt;
    const nlohmann::json* keys = readArray(*document, "keys", failure);
    if (keys == nullptr)
        return std::nullopt;
    std::vector<std::string> texts;
    for (const nlohmann::json& key : *keys) {
        if (key.is_string())
            texts.push_back(key.get<std::string>());
    }
    return texts;
}

std::optional<StoreWatchResult> HttpPlatformStore::watch(const std::string& prefix, std::uint64_t afterRevision, Duration limit, Failure& failure)
{
    std::chrono::milliseconds wait = std::chrono::duration_cast<std::chrono::milliseconds>(limit);
    std::unique_ptr<httplib::Client> client = makeClient(this->endpoint, wait + responseTimeout);
    httplib::Params parameters { { "prefix", prefix }, { "after_revision", std::to_string(afterRevision) }, { "wait_ms", std::to_string(wait.count()) } };
    httplib::Result result = client->Get(appendQuery("/v1/watch", parameters), { { "X-Origin", this->origin } });
    this->count("watch", static_cast<bool>(result));
    if (!checkResponse(result, httpOk, failure, Failure::Kind::Unavailable))
        return std::nullopt;

    std::optional<nlohmann::json> document = parseBody(result->body, failure);
    if (!document)
        return std::nullopt;

    std::optional<std::uint64_t> revision = readNumber(*document, "revision", failure);
    const nlohmann::json* objects = readArray(*document, "objects", failure);
    if (!revision || objects == nullptr)
        return std::nullopt;
    StoreWatchResult changes;
    changes.revision = *revision;
    for (const nlohmann::json& object : *objects) {
        Failure invalid;
        std::optional<StoreObject> decoded = readObject(object, invalid);
        if (decoded)
            changes.objects.push_back(std::move(*decoded));
        else
            logEvent(events::entryInvalid, "kind=object reason=\"" + invalid.reason + "\"");
    }
    return changes;
}

void HttpPlatformStore::count(const char* operation, bool wasAnswered)
{
    if (this->metrics != nullptr)
        this->metrics->onStoreCall(operation, wasAnswered);
}

} // namespace lentiljunction
