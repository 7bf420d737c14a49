#include "UpstreamPool.h"

#include "lentiljunction/core/LogEvents.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <utility>

namespace lentiljunction {

namespace {

    /// An upstream answers the start of a connection within a few tens of milliseconds.
    constexpr std::chrono::milliseconds openLimit { 300 };
    /// Statements end by their own deadlines; this is for the proxy's own questions, whose answers may
    /// be lost like any other.
    constexpr std::chrono::milliseconds answerLimit { 2500 };
    /// The pauses after an upstream could not be reached: the first, doubled up to the longest.
    constexpr std::chrono::milliseconds firstBackoff { 100 };
    constexpr std::chrono::milliseconds longestBackoff { 800 };
    /// The pause after an upstream took no further connection: about as long as others keep spare ones.
    constexpr std::chrono::milliseconds fullBackoff { 100 };
    /// A connection beyond the instance's share is closed when it was idle for this long.
    constexpr std::chrono::milliseconds surplusIdle { 500 };
    /// The part of an upstream's connections that all instances hold on average where there are more
    /// instances than connections. Peaks, starting instances and checks of failover need the other half.
    constexpr double heldPart = 0.5;
    /// How often claims that wait are looked through for passed deadlines.
    constexpr std::chrono::milliseconds expiryInterval { 25 };
    /// Connections left for the checks of whoever replaces a primary.
    constexpr int controlConnections = 1;
    /// The least share of an upstream that a rank keeps while more urgent ranks flood, in percent.
    constexpr int normalFloorPercent = 10;
    constexpr int backgroundFloorPercent = 5;
    /// Deadlines bound the wait, so the ranks' own targets must not.
    constexpr std::chrono::milliseconds noTarget { 60000 };

    std::array<RankConfig, numRanks> makeRanks()
    {
        return { RankConfig { noTarget, 0 }, RankConfig { noTarget, normalFloorPercent }, RankConfig { noTarget, backgroundFloorPercent } };
    }

} // namespace

UpstreamPool::UpstreamPool(const Surroundings& surroundings, UpstreamEntry upstream)
    : surroundings(surroundings)
    , upstream(std::move(upstream))
    , queue(makeRanks())
    , concurrency(this->upstream.slots)
    , queueTimer(surroundings.loop, surroundings.clock, [this] { this->denyExpired(); })
    , trimTimer(surroundings.loop, surroundings.clock, [this] { this->trim(); })
{
}

UpstreamPool::~UpstreamPool()
{
    this->isClosed = true;
    for (Held& held : this->links)
        held.link->close();
}

void UpstreamPool::setShare(int maximumConnections, std::size_t numUsers)
{
    this->ceiling = static_cast<std::size_t>(std::max(1, maximumConnections - controlConnections));
    // Half stays free, so that instances that start again find room beside connections that died
    // silently. Where there are more instances than connections, none is kept.
    std::size_t users = std::max<std::size_t>(1, numUsers);
    this->share = this->ceiling / (2 * users);
    if (this->share == 0 && users * 4 <= this->ceiling * 3)
        this->share = 1;
    this->budget.setTarget(heldPart * static_cast<double>(this->ceiling) / static_cast<double>(users));
}

UpstreamPool::Ticket UpstreamPool::claim(Rank rank, const CallerId& caller, TimePoint deadline, Grant grant)
{
    TimePoint now = this->surroundings.clock.now();
    this->probeIfDue();
    if (this->isClosed || (this->isSuspect && this->findIdleHeld() == nullptr)) {
        grant(nullptr, Denial::Unreachable);
        return 0;
    }
    this->queue.setConcurrency(this->concurrency.getLimit());
    Ticket ticket = this->nextTicket++;
    if (this->queue.offer({ ticket, rank, caller, deadline }, now)) {
        grant(nullptr, Denial::TooLong);
        return 0;
    }
    this->grants.emplace(ticket, std::move(grant));
    this->pump();
    if (this->grants.count(ticket) == 0)
        return 0;
    this->setQueueTimer();
    return ticket;
}

void UpstreamPool::withdraw(Ticket ticket)
{
    if (this->grants.erase(ticket) > 0)
        this->queue.remove(ticket);
}

void UpstreamPool::release(UpstreamLink* link)
{
    Held* held = this->find(link);
    if (held == nullptr)
        return;
    this->finishActive(*held);
    held->isIdle = true;
    held->since = this->surroundings.clock.now();
    if (this->links.size() > this->share)
        this->trimTimer.setTimeIfEarlier(held->since + this->getSurplusIdle());
    this->pump();
}

void UpstreamPool::discard(UpstreamLink* link)
{
    Held* held = this->find(link);
    if (held == nullptr)
        return;
    if (held->isActive)
        this->numActive--;
    this->remove(link);
    this->pump();
}

void UpstreamPool::activate(UpstreamLink* link)
{
    Held* held = this->find(link);
    assert(held != nullptr && !held->isIdle);
    if (held->isActive)
        return;
    held->isActive = true;
    held->since = this->surroundings.clock.now();
    this->numActive++;
}

void UpstreamPool::park(UpstreamLink* link)
{
    Held* held = this->find(link);
    if (held == nullptr)
        return;
    this->finishActive(*held);
    this->pump();
}

UpstreamLink* UpstreamPool::findIdle() const
{
    for (const Held& held : this->links) {
        if (held.isIdle && held.link->isQuiet())
            return held.link.get();
    }
    return nullptr;
}

void UpstreamPool::openOne()
{
    if (this->isClosed || this->links.size() >= this->ceiling)
        return;
    Held held;
    held.since = this->surroundings.clock.now();
    UpstreamLink::Listener& listener = *this;
    held.link = std::make_unique<UpstreamLink>(this->surroundings.loop, this->surroundings.clock, this->surroundings.protocol, this->upstream, this->surroundings.self, openLimit, listener);
    this->numOpening++;
    this->links.push_back(std::move(held));
    this->budget.onHeld(this->links.size(), this->surroundings.clock.now());
}

void UpstreamPool::dropSilentIdle(Duration span)
{
    TimePoint now = this->surroundings.clock.now();
    for (std::size_t index = 0; index < this->links.size();) {
        std::optional<TimePoint> since = this->links[index].link->getWaitingSince();
        if (this->links[index].isIdle && since && now - *since > span)
            this->remove(this->links[index].link.get());
        else
            index++;
    }
}

void UpstreamPool::dropSilent()
{
    TimePoint now = this->surroundings.clock.now();
    std::vector<UpstreamLink*> silent;
    for (const Held& held : this->links) {
        std::optional<TimePoint> since = held.link->getWaitingSince();
        if (since && now - *since > answerLimit)
            silent.push_back(held.link.get());
    }
    // Whoever waits for an answer is told, and discards the connection.
    for (UpstreamLink* link : silent)
        link->breakOff();
}

void UpstreamPool::probeIfDue()
{
    if (this->isSuspect && this->numOpening == 0 && this->surroundings.clock.now() >= this->probeAt)
        this->openOne();
}

std::size_t UpstreamPool::getNumWaiting() const
{
    std::size_t number = 0;
    for (Rank rank : allRanks)
        number += this->queue.getNumWaiting(rank);
    return number;
}

bool UpstreamPool::isOverdue(Duration span) const
{
    TimePoint now = this->surroundings.clock.now();
    return std::any_of(this->links.begin(), this->links.end(), [&](const Held& held) {
        std::optional<TimePoint> since = held.link->getWaitingSince();
        return since && now - *since > span;
    });
}

void UpstreamPool::onLinkReady(UpstreamLink& link)
{
    Held* held = this->find(&link);
    assert(held != nullptr);
    this->numOpening--;
    held->isOpening = false;
    this->backoff = Duration(0);
    if (std::exchange(this->isSuspect, false))
        logEvent(events::upstreamReachable, "upstream=" + this->upstream.id.toString() + " group=" + this->upstream.group.toString());
    held->isIdle = true;
    held->since = this->surroundings.clock.now();
    if (this->links.size() > this->share)
        this->trimTimer.setTimeIfEarlier(held->since + this->getSurplusIdle());
    this->pump();
}

void UpstreamPool::onLinkLost(UpstreamLink& link, UpstreamLink::Trouble trouble, const std::string& reason)
{
    Held* held = this->find(&link);
    if (held == nullptr)
        return;
    bool wasIdle = held->isIdle;
    bool wasOpening = held->isOpening;
    // A connection in use is discarded by its session, which was told by the answers that did not come.
    if (!wasIdle && !wasOpening)
        return;

    this->remove(&link);
    if (wasIdle)
        return;
    this->numOpening--;
    TimePoint now = this->surroundings.clock.now();
    if (trouble == UpstreamLink::Trouble::Full) {
        // Claims wait for a connection of this instance, or for another to give one back.
        this->fullUntil = now + fullBackoff;
        logEvent(events::upstreamFull, "upstream=" + this->upstream.id.toString() + " connections=" + std::to_string(this->links.size()) + " share=" + std::to_string(this->share) + " waiting=" + std::to_string(this->getNumWaiting()) + " held_on_average=" + std::to_string(this->budget.getAverage()) + " idle_span_ms=" + std::to_string(this->budget.getIdleSpan().count() / 1000));
        return this->setQueueTimer();
    }
    this->backoff = std::clamp<Duration>(this->backoff * 2, firstBackoff, longestBackoff);
    this->isSuspect = true;
    this->probeAt = now + this->backoff;
    logEvent(events::upstreamUnreachable, "upstream=" + this->upstream.id.toString() + " group=" + this->upstream.group.toString() + " reason=\"" + reason + "\" again_in_ms=" + std::to_string(this->backoff.count() / 1000));
    this->denyAll(Denial::Unreachable);
    this->surroundings.listener.onUpstreamUnreachable(this->upstream, trouble);
}

UpstreamPool::Held* UpstreamPool::find(const UpstreamLink* link)
{
    std::vector<Held>::iterator found = std::find_if(this->links.begin(), this->links.end(), [link](const Held& held) { return held.link.get() == link; });
    return found == this->links.end() ? nullptr : &*found;
}

UpstreamPool::Held* UpstreamPool::findIdleHeld()
{
    // The connection that was used last is the likeliest to work, and the others can be trimmed.
    Held* best = nullptr;
    for (Held& held : this->links) {
        if (held.isIdle && held.link->isQuiet() && (best == nullptr || best->since < held.since))
            best = &held;
    }
    return best;
}

void UpstreamPool::remove(const UpstreamLink* link)
{
    std::vector<Held>::iterator found = std::find_if(this->links.begin(), this->links.end(), [link](const Held& held) { return held.link.get() == link; });
    if (found == this->links.end())
        return;
    found->link->close();
    // The link may be on the stack of the caller, so it is destroyed later.
    std::shared_ptr<UpstreamLink> buried(std::move(found->link));
    this->links.erase(found);
    this->budget.onHeld(this->links.size(), this->surroundings.clock.now());
    this->surroundings.loop.post([buried] {});
}

void UpstreamPool::finishActive(Held& held)
{
    if (!held.isActive)
        return;
    TimePoint now = this->surroundings.clock.now();
    Duration taken = std::chrono::duration_cast<Duration>(now - held.since);
    this->concurrency.onAnswered(taken, this->numActive);
    this->queue.onFinished(taken);
    this->latency.onSample(taken, now);
    held.isActive = false;
    this->numActive--;
}

void UpstreamPool::pump()
{
    // Grants may release or claim, which comes back here; the outer loop then goes on.
    if (this->isPumping || this->isClosed)
        return;
    this->isPumping = true;
    while (!this->queue.isEmpty() && this->numActive < this->concurrency.getLimit()) {
        Held* held = this->findIdleHeld();
        if (held == nullptr) {
            this->openIfNeeded();
            break;
        }
        std::optional<RankQueue::Request> request = this->queue.takeNext(this->surroundings.clock.now());
        std::unordered_map<Ticket, Grant>::iterator found = this->grants.find(request->ticket);
        assert(found != this->grants.end());
        Grant grant = std::move(found->second);
        this->grants.erase(found);
        held->isIdle = false;
        held->isActive = true;
        held->since = this->surroundings.clock.now();
        this->numActive++;
        grant(held->link.get(), Denial::TooLong);
    }
    this->isPumping = false;
}

void UpstreamPool::openIfNeeded()
{
    std::size_t numWaiting = this->grants.size();
    bool isHeldBack = this->isSuspect || this->surroundings.clock.now() < this->fullUntil;
    if (isHeldBack || this->numOpening >= numWaiting || this->links.size() >= this->ceiling)
        return;
    this->openOne();
}

void UpstreamPool::denyAll(Denial denial)
{
    std::unordered_map<Ticket, Grant> denied = std::exchange(this->grants, {});
    for (std::pair<const Ticket, Grant>& entry : denied)
        this->queue.remove(entry.first);
    for (std::pair<const Ticket, Grant>& entry : denied)
        entry.second(nullptr, denial);
}

void UpstreamPool::denyExpired()
{
    for (const RankQueue::Request& request : this->queue.takeExpired(this->surroundings.clock.now())) {
        std::unordered_map<Ticket, Grant>::iterator found = this->grants.find(request.ticket);
        if (found == this->grants.end())
            continue;
        Grant grant = std::move(found->second);
        this->grants.erase(found);
        grant(nullptr, Denial::TooLong);
    }
    this->pump();
    this->setQueueTimer();
}

Duration UpstreamPool::getSurplusIdle() const
{
    return this->share > 0 ? Duration(surplusIdle) : this->budget.getIdleSpan();
}

void UpstreamPool::setQueueTimer()
{
    if (!this->queue.isEmpty())
        this->queueTimer.setTimeIfEarlier(this->surroundings.clock.now() + expiryInterval);
}

void UpstreamPool::trim()
{
    TimePoint now = this->surroundings.clock.now();
    std::optional<TimePoint> next;
    for (std::size_t index = 0; index < this->links.size() && this->links.size() > this->share;) {
        const Held& held = this->links[index];
        if (held.isIdle && now - held.since >= this->getSurplusIdle() && held.link->isQuiet()) {
            this->remove(held.link.get());
            continue;
        }
        if (held.isIdle)
            next = std::min(next.value_or(TimePoint::max()), TimePoint(held.since + this->getSurplusIdle()));
        index++;
    }
    if (next && this->links.size() > this->share)
        this->trimTimer.setTimeIfEarlier(std::max(*next, now + this->getSurplusIdle() / 4));
}

} // namespace lentiljunction
