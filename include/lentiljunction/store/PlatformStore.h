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

/// The result of a watch.
struct StoreWatchResult {
    /// The revision to pass to the next watch.
    std::uint64_t revision = 0;
    std::vector<StoreObject> objects;
};

/// The platform's store: versioned objects, conditional updates and watches.
///
/// Calls block, so they must not run on an event loop. A failure of kind InDoubt means that an update
/// may have been applied although no response arrived.
///
/// @see HttpPlatformStore, StoreWorker
class PlatformStore {
public:
    virtual ~PlatformStore() = default;

    /// Reads an object.
    ///
    /// @param failure NotFound when the object does not exist
    virtual std::optional<StoreObject> get(const std::string& key, Failure& failure) = 0;

    /// Writes an object if its version is the expected one.
    ///
    /// @param expected the version read before; zero when the object must not exist
    /// @param failure Conflict when the object has another version
    /// @returns the new version
    virtual std::optional<StoreVersion> put(const std::string& key, StoreVersion expected, const std::string& value, Failure& failure) = 0;

    /// @returns the keys that begin with a prefix, in ascending order
    virtual std::optional<std::vector<std::string>> list(const std::string& prefix, Failure& failure) = 0;

    /// Waits for changes of objects whose keys begin with a prefix.
    ///
    /// @param afterRevision the revision of the last watch; zero returns all objects immediately
    /// @param limit the time after which the watch returns without objects
    virtual std::optional<StoreWatchResult> watch(const std::string& prefix, std::uint64_t afterRevision, Duration limit, Failure& failure) = 0;
};

/// Creates an object that is never changed afterwards.
///
/// If the response is lost, the object is read back to find out whether it was created.
///
/// @returns whether the object has this value; false with Conflict when it has another value
bool putOnce(PlatformStore& store, const std::string& key, const std::string& value, Failure& failure);

/// The keys of objects in the store.
namespace storekeys {

    /// The prefix of the objects that each zone reader watches.
    constexpr const char* watched = "watched/";
    /// The version of the active bundle.
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
    /// @returns the key of a signed bundle that can be activated
    inline std::string signedBundle(BundleVersion version) { return "bundles/" + std::to_string(version.value()) + "/signed"; }
    /// @returns the key of the record from which blocks of a group's terms are granted
    inline std::string terms(const DatabaseId& database) { return "terms/" + database.toString(); }

} // namespace storekeys

} // namespace lentiljunction
