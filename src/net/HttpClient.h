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

/// One call to an HTTP server.
struct HttpClientRequest {
    std::string method;
    /// Path and query.
    std::string target;
    std::string body;
    std::map<std::string, std::string> headers;
    /// From the call to its whole answer.
    Duration timeout { 0 };
};

/// The answer to an HttpClientRequest.
struct HttpClientResponse {
    int status = 0;
    std::string body;
};

/// Calls one HTTP server without blocking.
///
/// Connections are kept open and used again; a call gets a connection of its own while it waits. A
/// call that gets no answer in time loses its connection, because it may be silent for good.
///
/// Everything runs on the thread of the event loop.
class HttpClient {
public:
    /// @param answer nothing on a failure: Unavailable when the call was certainly never sent whole, InDoubt else
    using Callback = std::function<void(std::optional<HttpClientResponse> answer, const Failure& failure)>;

    /// @param loop runs the client; must outlive it
    HttpClient(EventLoop& loop, Endpoint server);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Starts a call.
    void call(HttpClientRequest call, Callback callback);

private:
    class Exchange;
    class Implementation;
    std::shared_ptr<Implementation> implementation;
};

} // namespace lentiljunction
