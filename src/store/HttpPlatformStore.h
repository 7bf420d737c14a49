#pragma once

#include "lentiljunction/metrics/Metrics.h"
#include "lentiljunction/settings/Settings.h"
#include "lentiljunction/store/PlatformStore.h"

namespace lentiljunction {

/// The platform's store over HTTP and JSON.
///
/// Safe to call from several threads; each call opens its own connection.
class HttpPlatformStore : public PlatformStore {
public:
    /// @param endpoint the store's address
    /// @param origin who calls, as "zone=...;instance=..."
    /// @param metrics counts calls, or nullptr
    HttpPlatformStore(Endpoint endpoint, std::string origin, Metrics* metrics);

    std::optional<StoreObject> get(const std::string& key, Failure& failure) override;
    std::optional<StoreVersion> put(const std::string& key, StoreVersion expected, const std::string& value, Failure& failure) override;
    std::optional<std::vector<std::string>> list(const std::string& prefix, Failure& failure) override;
    std::optional<StoreWatchResult> watch(const std::string& prefix, std::uint64_t afterRevision, Duration limit, Failure& failure) override;

private:
    void count(const char* operation, bool isAnswered);

    Endpoint endpoint;
    std::string origin;
    Metrics* metrics;
};

} // namespace lentiljunction
