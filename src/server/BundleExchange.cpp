#include "BundleExchange.h"

#include "lentiljunction/core/LogEvents.h"

#include <utility>

namespace lentiljunction {

namespace {

    constexpr Duration requestInterval = std::chrono::milliseconds(300);
    constexpr std::size_t peersAsked = 3;

} // namespace

BundleExchange::BundleExchange(const Clock& clock, OperatorSet trust, Listener& listener)
    : clock(clock)
    , keeper(std::move(trust))
    , listener(listener)
{
}

void BundleExchange::offer(const SignedBundle& bundle, const std::string& source)
{
    Failure failure;
    BundleVersion before = this->keeper.getVersion();
    this->finishOffer(this->keeper.offer(bundle, failure), failure, source, before);
}

void BundleExchange::onPeerVersion(const InstanceId& from, BundleVersion version)
{
    TimePoint now = this->clock.now();
    if (version <= this->keeper.getVersion() || now < this->nextRequest)
        return;

    this->nextRequest = now + requestInterval;
    this->listener.sendBundleMessage(from, BundleRequest { this->keeper.getVersion(), this->keeper.getBundle() == nullptr });
}

void BundleExchange::onRequest(const InstanceId& from, const BundleRequest& request)
{
    if (this->keeper.getVersion() <= request.have)
        return;

    BundleResponse reply;
    std::optional<BundleDelta> delta;
    if (!request.wantsFullCopy)
        delta = this->keeper.makeDelta(request.have);
    if (delta)
        reply.delta = toJson(*delta);
    else
        reply.full = toJson(this->keeper.getSignedBundle());
    this->listener.sendBundleMessage(from, reply);
}

void BundleExchange::onReply(const InstanceId& from, const BundleResponse& reply)
{
    Failure failure;
    BundleVersion before = this->keeper.getVersion();
    std::string source = "peer " + from.toString();
    if (reply.delta.is_null()) {
        std::optional<SignedBundle> bundle = parseSignedBundle(reply.full, failure);
        if (bundle)
            this->offer(*bundle, source);
        return;
    }

    std::optional<BundleDelta> delta = parseBundleDelta(reply.delta, failure);
    if (!delta)
        return;
    BundleKeeper::Offer offer = this->keeper.offer(*delta, failure);
    if (offer == BundleKeeper::Offer::NeedsFullCopy || offer == BundleKeeper::Offer::Refused)
        this->listener.sendBundleMessage(from, BundleRequest { before, true });
    this->finishOffer(offer, failure, source, before);
}

void BundleExchange::askUntilFirst(const MemberList& members, const InstanceId& self, Random& random)
{
    TimePoint now = this->clock.now();
    if (this->keeper.getBundle() != nullptr || now < this->nextRequest)
        return;

    this->nextRequest = now + requestInterval;
    for (std::size_t count = 0; count < peersAsked; count++) {
        const Member& peer = members[random.below(members.size())];
        if (peer.id != self)
            this->listener.sendBundleMessage(peer.id, BundleRequest { BundleVersion(), true });
    }
}

void BundleExchange::finishOffer(BundleKeeper::Offer offer, const Failure& failure, const std::string& source, BundleVersion before)
{
    if (offer == BundleKeeper::Offer::Refused)
        logEvent(events::bundleRefused, "source=" + source + " reason=\"" + failure.reason + "\"");
    if (offer != BundleKeeper::Offer::Accepted)
        return;

    logEvent(events::bundleInForce, "version=" + std::to_string(this->keeper.getVersion().value()) + " source=" + source);
    this->listener.onBundleInForce(source, before);
}

} // namespace lentiljunction
