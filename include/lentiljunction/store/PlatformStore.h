#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Failure.h"
#include "lentiljunction/core/Ids.h"

#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// One object of the platform's store.
struct StoreObject {
    std::string key;
    StoreVersion version;
    std::string value;
};

/// What a watch brought.
struct StoreWatchResult {
    /// To be given to the next watch.
    std::uint64_t revision = 0;
    std::vector<StoreObject> objects;
};

/// The platform's store: objects with versions, conditional updates and watches.
///
/// Calls block, so they are made on threads of their own. A failure of kind InDoubt means that an
/// update may have taken effect although no answer came.
///
/// @see HttpPlatformStore, StoreWorker
class PlatformStore {
public:
    virtual ~PlatformStore() = default;

    /// @param failure NotFound when there is no such object
    virtual std::optional<StoreObject> get(const std::string& key, Failure& failure) = 0;

    /// Writes an object if its version is the expected one.
    ///
    /// @param expected the version read before, zero when the object must not exist
    /// @param failure Conflict when the version is another one
    /// @returns the new version
    virtual std::optional<StoreVersion> put(const std::string& key, StoreVersion expected, const std::string& value, Failure& failure) = 0;

    /// @returns the keys that begin with a prefix, ascending
    virtual std::optional<std::vector<std::string>> list(const std::string& prefix, Failure& failure) = 0;

    /// Waits for changes of objects whose keys begin with a prefix.
    ///
    /// @param afterRevision zero for all objects at once
    /// @param limit returns without objects after this time
    virtual std::optional<StoreWatchResult> watch(const std::string& prefix, std::uint64_t afterRevision, Duration limit, Failure& failure) = 0;
};

/// Writes an object that is made once and never changed.
///
/// A lost answer is resolved by reading the object back.
///
/// @returns whether the object now has this value; false with Conflict when it has another
bool putOnce(PlatformStore& store, const std::string& key, const std::string& value, Failure& failure);

/// The keys of objects in the store.
namespace storekeys {

    /// The prefix of what every zone's watcher waits for.
    constexpr const char* watched = "watched/";
    /// The version of the bundle in force.
    constexpr const char* currentBundle = "watched/bundle";
    /// The platform's list of instances.
    constexpr const char* instances = "watched/instances";
    /// The platform's list of leaving upstreams.
    constexpr const char* leavingUpstreams = "watched/leaving-upstreams";
    constexpr const char* audit = "audit/";

    /// @returns the key of a proposed bundle's text
    inline std::string bundleText(BundleVersion version) { return "bundles/" + std::to_string(version.value()) + "/text"; }
    /// @returns the prefix of a proposed bundle's approvals
    inline std::string bundleApprovals(BundleVersion version) { return "bundles/" + std::to_string(version.value()) + "/approvals/"; }
    /// @returns the key of a signed bundle that can be rolled
    inline std::string signedBundle(BundleVersion version) { return "bundles/" + std::to_string(version.value()) + "/signed"; }
    /// @returns the key of the record that hands out a group's terms
    inline std::string terms(const DatabaseId& database) { return "terms/" + database.toString(); }

} // namespace storekeys

} // namespace lentiljunction
