#include "PromotionCalls.h"

#include "lentiljunction/core/LogEvents.h"

#include <utility>

namespace lentiljunction {

namespace {

    /// A coordinator whose promotion calls fail for longer lets another instance take over.
    constexpr std::chrono::milliseconds failureTimeout { 1000 };

    std::string describe(const PromotionCall& call, int attempt)
    {
        return "group=" + call.group.toString() + " upstream=" + call.upstream.toString() + " epoch=" + std::to_string(call.epoch.value()) + " generation=" + std::to_string(call.generation) + " run=" + std::to_string(call.run) + " attempt=" + std::to_string(attempt);
    }

    const char* findOutcome(bool isAccepted, bool isSent, const Failure& failure)
    {
        if (isAccepted)
            return "accepted";
        if (failure.kind == Failure::Kind::Conflict)
            return "refused";
        if (failure.isResponse)
            return "other_response";
        return isSent ? "no_response" : "not_sent";
    }

} // namespace

PromotionCalls::PromotionCalls(FleetStore& store, const Clock& clock, InstanceId self)
    : store(store)
    , clock(clock)
    , self(std::move(self))
{
}

void PromotionCalls::send(const PromotionCall& call, std::function<bool()> mayBeSent, Callback callback)
{
    this->numPending++;
    SentCalls& sent = this->sentCalls[call.group];
    if (sent.run != call.run)
        sent = { call.run, {} };
    std::shared_ptr<Pending> pending = std::make_shared<Pending>(Pending { call, describe(call, sent.numSent[call.upstream] + 1), this->clock.now() });
    std::function<bool()> begin = [this, pending, mayBeSent = std::move(mayBeSent)] { return this->tryBegin(*pending, mayBeSent); };
    this->store.promote(call.group, call.upstream, this->self, call.epoch, std::move(begin), [this, pending, callback = std::move(callback)](const std::optional<bool>& isDone, const Failure& failure) {
        this->logOutcome(*pending, isDone.has_value(), failure);
        this->onEnded(isDone.has_value() || failure.kind == Failure::Kind::Conflict);
        callback(isDone.has_value(), failure);
    });
}

bool PromotionCalls::tryBegin(Pending& pending, const std::function<bool()>& mayBeSent)
{
    if (mayBeSent && !mayBeSent())
        return false;
    SentCalls& sent = this->sentCalls[pending.call.group];
    if (!pending.isSent && sent.run == pending.call.run)
        sent.numSent[pending.call.upstream]++;
    pending.isSent = true;
    pending.since = this->clock.now();
    logEvent(events::promotionCallSent, pending.identification);
    return true;
}

void PromotionCalls::logOutcome(const Pending& pending, bool isAccepted, const Failure& failure)
{
    const char* outcome = findOutcome(isAccepted, pending.isSent, failure);
    this->numEnded[outcome]++;
    Duration took = std::chrono::duration_cast<Duration>(this->clock.now() - pending.since);
    std::string detail = pending.identification + " outcome=" + outcome + " took_ms=" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(took).count());
    if (!isAccepted)
        detail += " reason=\"" + failure.reason + "\"";
    logEvent(events::promotionCallEnded, detail);
}

bool PromotionCalls::hasSent(const GroupId& group, std::uint64_t run, const UpstreamId& upstream) const
{
    std::map<GroupId, SentCalls>::const_iterator sent = this->sentCalls.find(group);
    if (sent == this->sentCalls.end() || sent->second.run != run)
        return false;
    std::map<UpstreamId, int>::const_iterator calls = sent->second.numSent.find(upstream);
    return calls != sent->second.numSent.end() && calls->second > 0;
}

void PromotionCalls::onEnded(bool hasResponse)
{
    if (hasResponse)
        this->failingSince.reset();
    else if (!this->failingSince)
        this->failingSince = this->clock.now();
    this->numPending--;
    if (this->numPending > 0)
        return;
    for (const std::function<void()>& callback : std::exchange(this->endedCallbacks, {}))
        callback();
}

void PromotionCalls::runAfterPending(std::function<void()> callback)
{
    if (this->numPending == 0)
        return callback();
    this->endedCallbacks.push_back(std::move(callback));
}

bool PromotionCalls::areFailing() const
{
    return this->failingSince && this->clock.now() - *this->failingSince > failureTimeout;
}

} // namespace lentiljunction
