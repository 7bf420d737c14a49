#pragma once

#include "../../standins/platform/PlatformSite.h"
#include "SoakHistory.h"
#include "lentiljunction/core/Random.h"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction::lab {

/// The API keys of a soak test: publishes configurations that add and remove keys, and checks that they take effect in
/// time. Safe to use from any thread.
class SoakKeys {
public:
    /// The key with which the site is probed; it is never removed.
    static constexpr const char* probeKey = "probe-key";

    /// A key and its workspace.
    struct Key {
        std::string workspace;
        std::string text;

        /// @returns the prefix for the ids of the caller's statements
        std::string makeIdPrefix() const { return standin::LineGroup::makeIdPrefix(this->workspace, this->text); }
    };

    /// @param site must outlive this object, as must `history`
    SoakKeys(standin::PlatformSite& site, SoakHistory& history);

    /// Replaces the key of a random workspace: publishes a new one, and after a random time a version without the old
    /// one. Blocks.
    void replaceKey(Random& random, const std::atomic<bool>& isStopping);

    /// @returns a key that every instance must accept, or sometimes one that was removed
    Key chooseKey(Random& random);

    /// Checks whether a caller's key may have been accepted or refused.
    ///
    /// @param sentAt when the startup or statement was sent
    void checkResponse(const Key& key, TimePoint sentAt, const std::string& response);

    /// Checks which statements arrived at the upstreams.
    void checkArrivals();

    /// @returns how many keys were removed
    std::size_t countRemoved();

private:
    void publish();

    standin::PlatformSite& site;
    SoakHistory& history;
    std::mutex mutex;
    std::uint64_t version = 1;
    std::uint64_t numKeys = 0;
    /// The keys of each workspace, oldest first.
    std::map<std::string, std::vector<std::string>> keys;
    std::vector<Key> removed;
    std::map<std::string, TimePoint> addedAt;
    /// When the publication of the version without a key began, and when the store acknowledged it.
    std::map<std::string, TimePoint> removalBegan;
    std::map<std::string, TimePoint> removedAt;
};

} // namespace lentiljunction::lab
