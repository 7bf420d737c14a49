#include "PromotionCalls.h"

#include <utility>

namespace lentiljunction {

namespace {

    /// A coordinator whose promotion calls fail for longer lets another instance take over.
    constexpr std::chrono::milliseconds failureTimeout { 1000 };

} // namespace

PromotionCalls::PromotionCalls(FleetStore& store, const Clock& clock, InstanceId self)
    : store(store)
    , clock(clock)
    , self(std::move(self))
{
}

void PromotionCalls::send(const GroupId& group, const UpstreamId& upstream, FencingToken epoch, std::function<bool()> mayBeSent, Callback callback)
{
    this->numPending++;
    this->store.promote(group, upstream, this->self, epoch, std::move(mayBeSent), [this, callback = std::move(callback)](const std::optional<bool>& isDone, const Failure& failure) {
        this->onEnded(isDone.has_value() || failure.kind == Failure::Kind::Conflict);
        callback(isDone.has_value(), failure);
    });
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
