#pragma once

#include "lentiljunction/bundle/BundleKeeper.h"
#include "lentiljunction/core/Random.h"
#include "lentiljunction/membership/Membership.h"
#include "lentiljunction/peer/PeerMessage.h"

#include <string>

namespace lentiljunction {

/// Gets the bundle in force from peers and hands it on, as a delta where that will do.
///
/// Belongs to the control thread.
///
/// @see BundleKeeper
class BundleExchange {
public:
    /// Is told of a new bundle and carries messages.
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
    /// @param listener told of new bundles; must outlive this object
    BundleExchange(const Clock& clock, OperatorSet trust, Listener& listener);

    /// Takes a full copy, for example from the store.
    void offer(const SignedBundle& bundle, const std::string& source);

    /// Notes the version that a peer has in force, and asks it for a higher one.
    void onPeerVersion(const InstanceId& from, BundleVersion version);

    /// Answers a peer that asks.
    void onRequest(const InstanceId& from, const BundleRequest& request);

    /// Takes a peer's answer.
    void onReply(const InstanceId& from, const BundleResponse& reply);

    /// Asks a few peers, drawn at random, until there is a first bundle.
    void askUntilFirst(const MemberList& members, const InstanceId& self, Random& random);

    /// @returns the bundle in force, or nullptr
    std::shared_ptr<const Bundle> getBundle() const { return this->keeper.getBundle(); }

    /// @returns the version in force, zero before the first
    BundleVersion getVersion() const { return this->keeper.getVersion(); }

private:
    void finishOffer(BundleKeeper::Offer offer, const Failure& failure, const std::string& source, BundleVersion before);

    const Clock& clock;
    BundleKeeper keeper;
    Listener& listener;
    TimePoint nextRequest;
};

} // namespace lentiljunction
