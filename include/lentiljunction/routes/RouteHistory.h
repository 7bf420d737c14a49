#pragma once

#include "lentiljunction/routes/RouteDelta.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace lentiljunction {

/// The newest routing configuration as other instances need it: as a difference from the version that they have, or whole.
///
/// Each is encoded once, whoever asks for it. Incremental transfers that fall back to a complete one follow RFC 9103.
///
/// Not thread-safe; the control thread owns it.
///
/// @see RouteSender
class RouteHistory {
public:
    /// Adds a newer configuration.
    void add(const std::shared_ptr<const RouteTable>& newer);

    /// @returns the newest configuration, or nullptr
    const std::shared_ptr<const RouteTable>& getNewest() const { return this->newest; }

    /// @param have the version that another instance has, or nothing when it needs a complete configuration
    /// @returns what brings it to the newest version, in CBOR; nullptr when it has that already
    std::shared_ptr<const std::string> getContent(const std::optional<BundleVersion>& have);

private:
    std::shared_ptr<const std::string> encodeFrom(BundleVersion have) const;

    std::shared_ptr<const RouteTable> newest;
    /// Each can be applied to the result of the one before.
    std::deque<RouteDelta> deltas;
    /// What was encoded for the newest version, by the version from which it leads there; version zero for the whole.
    std::map<BundleVersion, std::shared_ptr<const std::string>> contents;
};

} // namespace lentiljunction
