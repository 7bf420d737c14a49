#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lentiljunction::standins {

/// A versioned in-memory object store with conditional updates and watches.
///
/// Safe to call from any thread.
class ObjectStore {
public:
    /// One object.
    struct Object {
        std::string key;
        std::uint64_t version = 0;
        std::uint64_t revision = 0;
        std::string value;
    };

    /// The result of a conditional update.
    struct PutResult {
        bool isWritten = false;
        /// The current version of the object; zero when it does not exist.
        std::uint64_t version = 0;
    };

    /// The objects changed after a revision.
    struct Changes {
        std::uint64_t revision = 0;
        std::vector<Object> objects;
    };

    /// @returns the object, or nothing
    std::optional<Object> get(const std::string& key);

    /// Writes an object if its version matches.
    ///
    /// @param expected the version that the object must have; zero when it must not exist
    PutResult put(const std::string& key, std::uint64_t expected, const std::string& value);

    /// @returns the keys that begin with the prefix, in ascending order
    std::vector<std::string> list(const std::string& prefix);

    /// Waits for changes of objects whose keys begin with the prefix.
    ///
    /// @param limit how long to wait at most
    /// @returns the changes, without objects when none was made within the limit
    Changes watch(const std::string& prefix, std::uint64_t afterRevision, std::chrono::milliseconds limit);

private:
    Changes collectChanges(const std::string& prefix, std::uint64_t afterRevision) const;

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Object> objects;
    std::uint64_t revision = 0;
};

} // namespace lentiljunction::standins
