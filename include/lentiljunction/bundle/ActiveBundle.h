#pragma once

#include "lentiljunction/bundle/SignedBundle.h"

#include <deque>
#include <memory>

namespace lentiljunction {

/// The changes from one bundle version to a higher one.
///
/// The receiver applies the patches to its own document and verifies the approvals of the result, so
/// the delta itself needs no signature. Incremental transfer with a full copy as the fallback follows
/// IXFR and AXFR (RFC 9103).
struct BundleDelta {
    BundleVersion from;
    BundleVersion to;
    /// JSON patches (RFC 6902), applied in order.
    std::vector<nlohmann::json> steps;
    std::vector<Approval> approvals;
    std::vector<SignedOperators> chain;
};

/// @returns the delta as sent between instances
nlohmann::json toJson(const BundleDelta& delta);

/// @returns the delta parsed from JSON, or nothing with the faults in `failure`
std::optional<BundleDelta> parseBundleDelta(const nlohmann::json& document, Failure& failure);

/// Holds the bundle in force. Replaces it only by a valid bundle of a higher version, so it never
/// reverts.
///
/// Belongs to the control thread; the bundle itself is immutable and may be read from any thread.
///
/// @code
/// ActiveBundle activeBundle(settings.trust);
/// if (activeBundle.offer(received, failure) == ActiveBundle::OfferResult::Accepted)
///     publish(activeBundle.getBundle());
/// @endcode
class ActiveBundle {
public:
    /// The result of offering a bundle.
    enum class OfferResult {
        Accepted,
        /// The version is not higher than the one in force.
        NotHigher,
        /// The bundle is invalid; the reason is in the failure.
        Refused,
        /// The delta cannot be applied to the version in force; a full copy is needed.
        NeedsFullCopy,
    };

    /// @param trust the operators of the settings
    explicit ActiveBundle(OperatorSet trust);

    /// Verifies a full copy and puts it in force.
    ///
    /// @param bundle the full copy
    /// @param failure receives the reason for a refusal
    /// @returns whether it is now in force, or why not
    OfferResult offer(const SignedBundle& bundle, Failure& failure);

    /// Applies a delta to the bundle in force, verifies the result and puts it in force.
    ///
    /// @param delta the changes from the version in force
    /// @param failure receives the reason for a refusal
    /// @returns whether the result is now in force, or why not
    OfferResult offer(const BundleDelta& delta, Failure& failure);

    /// @returns the bundle in force, or nullptr before the first
    std::shared_ptr<const Bundle> getBundle() const { return this->bundle; }

    /// @returns the signed bundle in force; its text is empty before the first
    const SignedBundle& getSignedBundle() const { return this->signedBundle; }

    /// @returns the version in force, zero before the first
    BundleVersion getVersion() const;

    /// @param from the version that another instance has in force
    /// @returns the delta from that version, or nothing when a full copy is needed
    std::optional<BundleDelta> makeDelta(BundleVersion from) const;

private:
    /// The patches from a former version to its successor, kept to make deltas.
    struct Step {
        BundleVersion from;
        std::vector<nlohmann::json> patches;
    };

    OfferResult activate(const SignedBundle& offered, nlohmann::json next, std::vector<nlohmann::json> patchesToNext, Failure& failure);
    bool continuesOperatorChain(const Bundle& next, const nlohmann::json& nextDocument, const std::vector<SignedOperators>& chain, Failure& failure) const;

    OperatorSet trust;
    std::shared_ptr<const Bundle> bundle;
    SignedBundle signedBundle;
    nlohmann::json document;
    std::deque<Step> steps;
};

} // namespace lentiljunction
