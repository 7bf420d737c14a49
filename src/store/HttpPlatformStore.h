#pragma once

#include "lentiljunction/metrics/Metrics.h"
#include "lentiljunction/settings/Settings.h"
#include "lentiljunction/store/PlatformStore.h"

namespace lentiljunction {

/// Accesses the platform's store over HTTP with JSON.
///
/// Safe to call from several threads; each call opens its own connection and blocks.
class HttpPlatformStore : public PlatformStore {
public:
    /// @param endpoint the store's address
    /// @param origin the calling instance, as "zone=...;instance=..."
    /// @param metrics counts the calls; may be nullptr
    HttpPlatformStore(Endpoint endpoint, std::string origin, Metrics* metrics);

    std::optional<StoreObject> get(const std::string& key, Failure& failure) override;
    std::optional<StoreVersion> put(const std::string& key, StoreVersion expected, const std::string& value, Failure& failure) override;
    std::optional<std::vector<std::string>> list(const std::string& prefix, Failure& failure) override;
    std::optional<StoreWatchResult> watch(const std::string& prefix, std::uint64_t afterRevision, Duration limit, Failure& failure) override;

private:
    void count(const char* operation, bool wasAnswered);

    Endpoint endpoint;
    std::string origin;
    Metrics* metrics;
};

} // namespace lentiljunction
