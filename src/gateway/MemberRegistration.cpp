#include "MemberRegistration.h"

#include "lentiljunction/core/LogEvents.h"

#include <utility>

namespace lentiljunction {

namespace {

    constexpr std::chrono::milliseconds firstRetry { 200 };
    /// Hundreds of instances must not keep a busy store busy.
    constexpr std::chrono::milliseconds longestRetry { 1600 };

} // namespace

MemberRegistration::MemberRegistration(Scheduler& loop, FleetStore& store, FleetMember self, Callback onRegistered)
    : loop(loop)
    , store(store)
    , self(std::move(self))
    , onRegistered(std::move(onRegistered))
    , retries(firstRetry, longestRetry)
{
}

void MemberRegistration::start()
{
    this->isPending = true;
    this->isChanged = false;
    this->store.registerMember(this->self, [this](const std::optional<StoreEra>& era, const Failure& failure) {
        if (!era) {
            logEvent(events::storeCallFailed, "call=register reason=\"" + failure.reason + "\"");
            return this->loop.schedule(this->retries.onFailure(), [this] { this->start(); });
        }
        this->isPending = false;
        this->retries.onSuccess();
        this->registeredIn = era;
        this->onRegistered(*era);
        this->renewInNewEra();
        if (this->isChanged)
            this->renewAfterChange();
    });
}

void MemberRegistration::setLending(const Endpoint& lending)
{
    this->self.lending = lending;
    this->renewAfterChange();
}

void MemberRegistration::setQuota(const Endpoint& quota)
{
    this->self.quota = quota;
    this->renewAfterChange();
}

void MemberRegistration::renewAfterChange()
{
    this->isChanged = this->isPending;
    if (!this->isPending && this->registeredIn)
        this->start();
}

void MemberRegistration::renewInNewEra()
{
    if (!this->isPending && this->registeredIn && *this->registeredIn < this->store.getEra())
        this->start();
}

} // namespace lentiljunction
