#pragma once

#include "HttpClient.h"

#include <memory>
#include <string>

namespace lentiljunction {

/// @returns the request in the format of HTTP/1.1
std::string encodeHttpRequest(const HttpClientRequest& call, const Endpoint& server);

/// Parses the response to one request incrementally.
///
/// @see HttpClient
class HttpResponseParser {
public:
    HttpResponseParser();
    ~HttpResponseParser();
    HttpResponseParser(const HttpResponseParser&) = delete;
    HttpResponseParser& operator=(const HttpResponseParser&) = delete;

    /// Parses received bytes.
    ///
    /// @param bytes the bytes received so far; parsed bytes are removed
    /// @param failure set when the bytes are not a valid HTTP response
    /// @returns whether the response is complete
    bool consume(std::string& bytes, Failure& failure);

    /// @returns whether a part of the response was received
    bool hasReceivedData() const;

    /// @returns whether the server keeps the connection open; valid once the response is complete
    bool canReuseConnection() const;

    /// Moves the response out of the parser.
    ///
    /// @returns the response; valid once it is complete
    HttpClientResponse releaseResponse();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace lentiljunction
