#include "MemberRegistration.h"

#include "lentiljunction/core/LogEvents.h"

#include <utility>

namespace lentiljunction {

namespace {

    constexpr std::chrono::milliseconds firstRetry { 200 };
    /// Hundreds of instances must not keep a busy store busy.
    constexpr std::chrono::milliseconds longestRetry { 1600 };
    /// Delay before the entry is read after a lost response; allows several round trips to the store.
    constexpr std::chrono::milliseconds readBackDelay { 60 };
    /// A process that ends has little time.
    constexpr std::chrono::milliseconds removalRetryDelay { 100 };

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
    if (this->isRemoving)
        return;
    this->isPending = true;
    this->isChanged = false;
    this->read();
}

void MemberRegistration::read()
{
    this->store.readMember(this->self.id, [this](const std::optional<RegisteredMember>& registered, const Failure& failure) {
        if (registered && registered->member == this->self)
            return this->onRegisteredIn(registered->era);
        bool isKnownToDiffer = registered || failure.kind == Failure::Kind::NotFound || failure.kind == Failure::Kind::InvalidInput;
        if (!isKnownToDiffer)
            return this->retry("read_member", failure);
        this->write();
    });
}

void MemberRegistration::write()
{
    if (this->isRemoving)
        return;
    this->store.registerMember(this->self, [this](const std::optional<StoreEra>& era, const Failure& failure) {
        if (era)
            return this->onRegisteredIn(*era);
        if (failure.kind != Failure::Kind::InDoubt)
            return this->retry("register", failure);
        logEvent(events::storeCallFailed, "call=register reason=\"" + failure.reason + "\"");
        this->loop.schedule(readBackDelay, [this] { this->start(); });
    });
}

void MemberRegistration::retry(const std::string& call, const Failure& failure)
{
    logEvent(events::storeCallFailed, "call=" + call + " reason=\"" + failure.reason + "\"");
    this->loop.schedule(this->retries.onFailure(), [this] { this->start(); });
}

void MemberRegistration::onRegisteredIn(StoreEra era)
{
    this->isPending = false;
    this->retries.onSuccess();
    this->registeredIn = era;
    this->onRegistered(era);
    this->renewInNewEra();
    if (this->isChanged)
        this->renewAfterChange();
}

void MemberRegistration::remove(std::function<void()> callback)
{
    this->isRemoving = true;
    this->onRemoved = std::move(callback);
    this->readForRemoval();
}

void MemberRegistration::readForRemoval()
{
    this->store.readMember(this->self.id, [this](const std::optional<RegisteredMember>& registered, const Failure& failure) {
        bool isOther = registered && registered->member.process != this->self.process;
        if (isOther || (!registered && failure.kind == Failure::Kind::NotFound))
            return this->onRemoved();
        if (!registered)
            return this->retryRemoval("read_member", failure);
        this->store.removeMember(this->self.id, registered->revision, [this](const std::optional<bool>& isRemoved, const Failure& removalFailure) {
            if (isRemoved)
                return this->onRemoved();
            this->retryRemoval("remove_member", removalFailure);
        });
    });
}

void MemberRegistration::retryRemoval(const std::string& call, const Failure& failure)
{
    logEvent(events::storeCallFailed, "call=" + call + " reason=\"" + failure.reason + "\"");
    this->loop.schedule(removalRetryDelay, [this] { this->readForRemoval(); });
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
