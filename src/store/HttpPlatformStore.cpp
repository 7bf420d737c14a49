#include "HttpPlatformStore.h"

#include <httplib.h>
#include <nlohmann/json.hpp>
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
        nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
        if (document.is_object())
            return document;
        failure.set(Failure::Kind::Unavailable, "the store's response is not a JSON object");
        return std::nullopt;
    }

    StoreObject readObject(const nlohmann::json& document)
    {
        return { document.value("key", ""), StoreVersion(document.value("version", std::uint64_t(0))), document.value("value", "") };
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
    return readObject(*document);
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
    return StoreVersion(document->value("version", std::uint64_t(0)));
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
    return document->value("keys", std::vector<std::string>());
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

    StoreWatchResult changes;
    changes.revision = document->value("revision", std::uint64_t(0));
    for (const nlohmann::json& object : document->value("objects", nlohmann::json::array()))
        changes.objects.push_back(readObject(object));
    return changes;
}

void HttpPlatformStore::count(const char* operation, bool wasAnswered)
{
    if (this->metrics != nullptr)
        this->metrics->onStoreCall(operation, wasAnswered);
}

} // namespace lentiljunction
