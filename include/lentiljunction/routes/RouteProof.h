#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Endpoint.h"
#include "lentiljunction/core/Ids.h"

#include <optional>
#include <string>

namespace lentiljunction {

/// How an instance learned of a routing configuration, or that there is no newer one.
struct RouteSource {
    enum class Kind {
        StoreRead,
        StoreWatch,
        OtherInstance,
    };

    Kind kind = Kind::StoreRead;
    /// Where the other instance listens for instances; empty for the store.
    Endpoint instance {};
};

/// @returns fields for the log
std::string describe(const RouteSource& source);

/// Evidence that at a time no routing configuration was newer than the one in force.
struct RouteProof {
    /// A lower bound: when the call of the store was sent that shows it.
    BootTime provenAt;
    /// The instance whose call that was.
    InstanceId confirmedTo;
    RouteSource source;
};

/// A version that another instance has, and that is newer than the one that this instance has.
struct NewerRoutes {
    BundleVersion version;
    /// When this instance first learned that there is a newer version.
    BootTime knownSince;
    /// When this version was reported.
    BootTime reportedAt;
    RouteSource source;
    /// When a part of a newer version arrived last, or an instance that has it said when it can send it.
    BootTime transferredAt {};
};

/// Knows how recently the routing configuration of an instance was proven to be the newest one, and whether another
/// instance has a newer one.
///
/// Not thread-safe; the control thread owns it.
///
/// @see RouteWatcher
class RouteProofTracker {
public:
    /// Whether the configuration counts as proven.
    enum class Change {
        None,
        Lost,
        Regained,
    };

    /// Records a proof; one that is older than the present one has no effect.
    void onProof(const RouteProof& proof);

    /// This instance has a newer configuration. What was proven before also holds for it.
    void onTableKnown(BundleVersion version);

    /// Another instance has a version. One that a later read of the store does not show is ignored from then on, so that
    /// a wrong message has no lasting effect.
    ///
    /// @returns whether it is newer than the one that this instance has and than any that was reported before
    bool onReported(BundleVersion version, const RouteSource& source, BootTime now);

    /// The transfer of a newer version goes on.
    void onTransferProgress(BootTime now);

    /// @returns the newest proof, or nothing before the first
    const std::optional<RouteProof>& getProof() const { return this->proof; }

    /// @returns the newest version of another instance, if it is newer than the one that this instance has
    const std::optional<NewerRoutes>& getNewer() const { return this->newer; }

    /// @returns whether the last proof is recent enough for other instances to rely on this one
    bool isProven(BootTime now) const;

    /// @returns when isProven() becomes false without further proofs; the epoch before the first one
    BootTime getExpiry() const;

    /// @returns when other instances must be asked for a proof or for a newer configuration; the epoch before the first proof
    BootTime getOtherInstancesNeededAt() const;

    /// @returns what has changed in isProven() since the last call
    Change checkProven(BootTime now);

private:
    std::optional<BundleVersion> version;
    std::optional<RouteProof> proof;
    std::optional<NewerRoutes> newer;
    std::optional<BundleVersion> refutedVersion;
    bool wasProven = false;
};

} // namespace lentiljunction
