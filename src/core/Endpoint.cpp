#include "lentiljunction/core/Endpoint.h"

#include <charconv>

namespace lentiljunction {

std::optional<Endpoint> parseEndpoint(const std::string& text, Failure& failure)
{
    std::size_t colon = text.rfind(':');
    if (colon != std::string::npos && colon > 0) {
        Endpoint endpoint { text.substr(0, colon), 0 };
        const char* begin = text.data() + colon + 1;
        const char* end = text.data() + text.size();
        std::from_chars_result result = std::from_chars(begin, end, endpoint.port);
        if (result.ec == std::errc() && result.ptr == end && endpoint.port != 0)
            return endpoint;
    }
    failure.set(Failure::Kind::InvalidInput, "\"" + text + "\" is not of the form address:port");
    return std::nullopt;
}

} // namespace lentiljunction
