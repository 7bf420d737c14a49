#pragma once

#include "../../tests/support/ByteMutator.h"
#include "lentiljunction/core/Random.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace lentiljunction::lab {

/// The protocol that a port of an instance speaks.
enum class FuzzedProtocol {
    /// The line protocol of callers.
    Lines,
    /// HTTP without a body of its own: readiness and metrics.
    Http,
    /// WebSocket with the requests that instances send each other.
    Peers,
    /// WebSocket with the messages of loans.
    Lending,
    /// WebSocket with the messages of quotas.
    Quota,
};

/// Makes what a faulty or hostile peer sends on one connection: damaged and nearly valid bytes.
///
/// The same seed gives the same inputs.
class FuzzInput {
public:
    /// @param key the key with which some of the sessions are opened
    FuzzInput(FuzzedProtocol protocol, std::uint64_t seed, std::string key)
        : protocol(protocol)
        , key(std::move(key))
        , random(seed)
        , mutator(seed)
    {
    }

    /// @returns all bytes for one connection
    std::string make();

private:
    std::string makeLines();
    std::string makeLine();
    std::string makeHttp();
    std::string makeHandshake();
    std::string makeFrames();
    std::string makeFrame();
    std::string makeMessage();
    nlohmann::json makePeerRequest();
    nlohmann::json makeLendingMessage();
    nlohmann::json makeQuotaMessage();
    const std::string& choose(const std::vector<std::string>& texts) { return texts[this->random.below(texts.size())]; }
    bool isOneOf(std::uint64_t number) { return this->random.below(number) == 0; }

    FuzzedProtocol protocol;
    std::string key;
    Random random;
    tests::ByteMutator mutator;
};

} // namespace lentiljunction::lab
