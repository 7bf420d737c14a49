#include "BundleExchange.h"

#include "lentiljunction/core/LogEvents.h"

#include <utility>

namespace lentiljunction {

namespace {

    constexpr Duration requestInterval = std::chrono::milliseconds(300);
    constexpr std::size_t numPeersPerRequest = 3;

} // namespace

BundleExchange::BundleExchange(const Clock& clock, OperatorSet trust, Listener& listener)
    : clock(clock)
    , activeBundle(std::move(trust))
    , listener(listener)
{
}

void BundleExchange::offer(const SignedBundle& bundle, const std::string& source)
{
    Failure failure;
    BundleVersion before = this->activeBundle.getVersion();
    this->handleOfferResult(this->activeBundle.offer(bundle, failure), failure, source, before);
}

void BundleExchange::onPeerVersion(const InstanceId& from, BundleVersion version)
{
    TimePoint now = this->clock.now();
    if (version <= this->activeBundle.getVersion() || now < this->nextRequest)
        return;

    this->nextRequest = now + requestInterval;
    this->listener.sendBundleMessage(from, BundleRequest { this->activeBundle.getVersion(), this->activeBundle.getBundle() == nullptr });
}

void BundleExchange::onRequest(const InstanceId& from, const BundleRequest& request)
{
    if (this->activeBundle.getVersion() <= request.have)
        return;

    BundleResponse reply;
    std::optional<BundleDelta> delta;
    if (!request.wantsFullCopy)
        delta = this->activeBundle.makeDelta(request.have);
    if (delta)
        reply.delta = toJson(*delta);
    else
        reply.full = toJson(this->activeBundle.getSignedBundle());
    this->listener.sendBundleMessage(from, reply);
}

void BundleExchange::onReply(const InstanceId& from, const BundleResponse& reply)
{
    Failure failure;
    BundleVersion before = this->activeBundle.getVersion();
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
    ActiveBundle::OfferResult result = this->activeBundle.offer(*delta, failure);
    if (result == ActiveBundle::OfferResult::NeedsFullCopy || result == ActiveBundle::OfferResult::Refused)
        this->listener.sendBundleMessage(from, BundleRequest { before, true });
    this->handleOfferResult(result, failure, source, before);
}

void BundleExchange::requestFirstBundle(const MemberList& members, const InstanceId& self, Random& random)
{
    TimePoint now = this->clock.now();
    if (this->activeBundle.getBundle() != nullptr || now < this->nextRequest)
        return;

    this->nextRequest = now + requestInterval;
    for (std::size_t count = 0; count < numPeersPerRequest; count++) {
        const Member& peer = members[random.below(members.size())];
        if (peer.id != self)
            this->listener.sendBundleMessage(peer.id, BundleRequest { BundleVersion(), true });
    }
}

void BundleExchange::handleOfferResult(ActiveBundle::OfferResult result, const Failure& failure, const std::string& source, BundleVersion before)
{
    if (result == ActiveBundle::OfferResult::Refused)
        logEvent(events::bundleRefused, "source=" + source + " reason=\"" + failure.reason + "\"");
    if (result != ActiveBundle::OfferResult::Accepted)
        return;

    logEvent(events::bundleInForce, "version=" + std::to_string(this->activeBundle.getVersion().value()) + " source=" + source);
    this->listener.onBundleInForce(source, before);
}

} // namespace lentiljunction
