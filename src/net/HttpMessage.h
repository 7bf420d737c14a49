#pragma once

#include "HttpClient.h"

#include <memory>
#include <string>

namespace lentiljunction {

/// @returns the bytes of a request
std::string encodeHttpRequest(const HttpClientRequest& call, const Endpoint& server);

/// Reads the answer to one request from bytes as they come.
///
/// @see HttpClient
class HttpResponseParser {
public:
    HttpResponseParser();
    ~HttpResponseParser();
    HttpResponseParser(const HttpResponseParser&) = delete;
    HttpResponseParser& operator=(const HttpResponseParser&) = delete;

    /// Takes received bytes; what was read is removed.
    ///
    /// @param failure filled when the bytes are no HTTP answer
    /// @returns whether the answer is whole
    bool take(std::string& bytes, Failure& failure);

    /// @returns whether a part of the answer has come
    bool hasBegun() const;

    /// @returns whether the connection may be used again; valid once the answer is whole
    bool mayKeepConnection() const;

    /// @returns the answer; valid once it is whole
    HttpClientResponse release();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace lentiljunction
