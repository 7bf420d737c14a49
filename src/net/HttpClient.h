#pragma once

#include "lentiljunction/core/EventLoop.h"
#include "lentiljunction/core/Failure.h"
#include "lentiljunction/settings/Settings.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// A request to an HTTP server.
struct HttpClientRequest {
    std::string method;
    /// Path and query.
    std::string target;
    std::string body;
    std::map<std::string, std::string> headers;
    /// The time limit from the call until the complete response.
    Duration timeout { 0 };
    /// Asked immediately before the request is sent; it is not sent unless this returns true. Opening a connection takes
    /// time, in which the process may be suspended. Not asked when empty.
    std::function<bool()> mayBeSent {};
    /// Called for each part of the response that is received, unless empty. The time limit then counts from there again, so
    /// that a long response over a slow link may take longer than one that does not come.
    std::function<void(std::size_t bytes)> onProgress {};
};

/// The response to an HttpClientRequest.
struct HttpClientResponse {
    int status = 0;
    std::string body;
    /// By name in lower case.
    std::map<std::string, std::string> headers;
};

/// Sends requests to one HTTP server without blocking.
///
/// Connections are kept alive and reused; each one carries a single request at a time. A request that
/// times out closes its connection, because the connection may never deliver data again.
///
/// Use only on the event loop's thread; callbacks run on it too.
class HttpClient {
public:
    /// @param response nothing on a failure
    /// @param failure Unavailable when the request was certainly not sent completely, otherwise InDoubt
    using Callback = std::function<void(std::optional<HttpClientResponse> response, const Failure& failure)>;

    /// @param loop runs the client; must outlive it
    HttpClient(EventLoop& loop, Endpoint server);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends a request; the callback is called exactly once.
    void call(HttpClientRequest call, Callback callback);

private:
    class Exchange;
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace lentiljunction
