#include "HttpMessage.h"

#include <algorithm>
#include <boost/beast/http.hpp>
#include <cctype>
#include <sstream>
#include <utility>

namespace lentiljunction {

namespace {

    namespace http = boost::beast::http;

    /// A stored value or a page of a list is at most about a megabyte; the limit leaves room for either.
    constexpr std::uint64_t maximumResponseBodyBytes = 8U << 20;
    constexpr unsigned httpVersion = 11;

} // namespace

std::string encodeHttpRequest(const HttpClientRequest& call, const Endpoint& server)
{
    http::request<http::string_body> message { http::string_to_verb(call.method), call.target, httpVersion };
    message.set(http::field::host, server.host + ":" + std::to_string(server.port));
    for (const std::pair<const std::string, std::string>& header : call.headers)
        message.set(header.first, header.second);
    message.body() = call.body;
    message.prepare_payload();
    std::ostringstream stream;
    stream << message;
    return stream.str();
}

class HttpResponseParser::Implementation {
public:
    Implementation()
    {
        this->parser.body_limit(maximumResponseBodyBytes);
    }

    /// Stops after the header, because the library reserves memory for the declared length before it checks the limit.
    ///
    /// @returns whether the declared length, if any, is allowed
    bool acceptHeader()
    {
        this->parser.eager(true);
        return this->parser.content_length().value_or(0) <= maximumResponseBodyBytes;
    }

    http::response_parser<http::string_body> parser;
};

HttpResponseParser::HttpResponseParser()
    : implementation(std::make_unique<Implementation>())
{
}

HttpResponseParser::~HttpResponseParser() = default;

bool HttpResponseParser::consume(std::string& bytes, Failure& failure)
{
    http::response_parser<http::string_body>& parser = this->implementation->parser;
    boost::system::error_code error;
    while (!bytes.empty() && !parser.is_done()) {
        bool hadHeader = parser.is_header_done();
        std::size_t used = parser.put(boost::asio::buffer(bytes), error);
        bytes.erase(0, used);
        if (!hadHeader && parser.is_header_done() && !this->implementation->acceptHeader())
            error = http::error::body_limit;
        if (error || used == 0)
            break;
    }
    if (!parser.is_done() && error && error != http::error::need_more)
        failure.set(Failure::Kind::InvalidInput, "the response is not valid HTTP: " + error.message());
    return parser.is_done();
}

bool HttpResponseParser::hasReceivedData() const
{
    return this->implementation->parser.got_some();
}

bool HttpResponseParser::canReuseConnection() const
{
    return this->implementation->parser.get().keep_alive();
}

HttpClientResponse HttpResponseParser::releaseResponse()
{
    http::response<http::string_body>& message = this->implementation->parser.get();
    HttpClientResponse response { static_cast<int>(message.result_int()), std::move(message.body()), {} };
    for (http::fields::const_iterator field = message.begin(); field != message.end(); ++field) {
        std::string name(field->name_string());
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
        response.headers[name] = std::string(field->value());
    }
    return response;
}

} // namespace lentiljunction
