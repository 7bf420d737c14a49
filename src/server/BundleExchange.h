#pragma once

#include "lentiljunction/bundle/ActiveBundle.h"
#include "lentiljunction/core/Random.h"
#include "lentiljunction/membership/Membership.h"
#include "lentiljunction/peer/PeerMessage.h"

#include <string>

namespace lentiljunction {

/// Requests newer bundles from peers and sends the bundle in force to them, as a delta if possible.
///
/// Belongs to the control thread.
///
/// @see ActiveBundle
class BundleExchange {
public:
    /// Receives new bundles and sends messages.
    class Listener {
    public:
        virtual ~Listener() = default;

        /// @param source where the bundle came from
        /// @param before the version that was in force
        virtual void onBundleInForce(const std::string& source, BundleVersion before) = 0;
        virtual void sendBundleMessage(const InstanceId& to, PeerMessage message) = 0;
    };

    /// @param clock the source of time; must outlive this object
    /// @param trust the operators of the settings
    /// @param listener receives new bundles and sends messages; must outlive this object
    BundleExchange(const Clock& clock, OperatorSet trust, Listener& listener);

    /// Processes a full copy, for example from the store.
    void offer(const SignedBundle& bundle, const std::string& source);

    /// Requests the bundle of a peer whose version is higher than the own one.
    void onPeerVersion(const InstanceId& from, BundleVersion version);

    /// Sends a peer the newer bundle that it requested.
    void onRequest(const InstanceId& from, const BundleRequest& request);

    /// Processes the bundle that a peer sent.
    void onReply(const InstanceId& from, const BundleResponse& reply);

    /// Requests a full copy from a few random peers, as long as this instance has no bundle.
    void requestFirstBundle(const MemberList& members, const InstanceId& self, Random& random);

    /// @returns the bundle in force, or nullptr
    std::shared_ptr<const Bundle> getBundle() const { return this->activeBundle.getBundle(); }

    /// @returns the version in force, zero before the first
    BundleVersion getVersion() const { return this->activeBundle.getVersion(); }

private:
    void handleOfferResult(ActiveBundle::OfferResult result, const Failure& failure, const std::string& source, BundleVersion before);

    const Clock& clock;
    ActiveBundle activeBundle;
    Listener& listener;
    TimePoint nextRequest;
};

} // namespace lentiljunction
