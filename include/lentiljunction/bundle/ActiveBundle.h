#pragma once

#include "lentiljunction/bundle/SignedBundle.h"

#include <deque>
#include <memory>

namespace lentiljunction {

/// The way from one bundle version to a higher one.
///
/// The receiver applies the steps to its own text and checks the approvals of the result, so a
/// delta needs no trust of its own. The idea of an incremental transfer with a full copy as the
/// fallback is that of IXFR and AXFR (RFC 9103).
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

/// @returns the delta read from JSON, or nothing with the faults in `failure`
std::optional<BundleDelta> parseBundleDelta(const nlohmann::json& document, Failure& failure);

/// Holds the bundle in force. Takes another only when it is valid and higher, so it never reverts.
///
/// Belongs to the control thread; the bundle itself is immutable and may be read from any thread.
///
/// @code
/// ActiveBundle keeper(settings.trust);
/// if (keeper.offer(received, failure) == ActiveBundle::Offer::Accepted)
///     publish(keeper.getBundle());
/// @endcode
class ActiveBundle {
public:
    /// What became of an offered bundle.
    enum class OfferResult {
        Accepted,
        /// The version is the one in force or older.
        NotHigher,
        /// The bundle is invalid; the reason is in the failure.
        Refused,
        /// The delta starts at another version; a full copy is needed.
        NeedsFullCopy,
    };

    /// @param trust the operators of the settings
    explicit ActiveBundle(OperatorSet trust);

    /// @param bundle a full copy
    /// @param failure says why it was refused
    OfferResult offer(const SignedBundle& bundle, Failure& failure);

    /// @param delta a way from the version in force
    /// @param failure says why it was refused
    OfferResult offer(const BundleDelta& delta, Failure& failure);

    /// @returns the bundle in force, or nullptr before the first
    std::shared_ptr<const Bundle> getBundle() const { return this->bundle; }

    /// @returns the signed bundle in force; its text is empty before the first
    const SignedBundle& getSignedBundle() const { return this->signedBundle; }

    /// @returns the version in force, zero before the first
    BundleVersion getVersion() const;

    /// @param from the version another instance has
    /// @returns the way from there, or nothing when only a full copy will do
    std::optional<BundleDelta> makeDelta(BundleVersion from) const;

private:
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
