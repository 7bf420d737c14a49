#include "LineUpstream.h"

#include <algorithm>
#include <future>
#include <utility>

namespace lentiljunction::standin {

LineGroup::LineGroup(EventLoop& loop, std::string name)
    : loop(loop)
    , name(std::move(name))
{
}

LineGroup::~LineGroup() = default;

void LineGroup::runOnLoop(const std::function<void()>& task)
{
    std::promise<void> done;
    this->loop.post([&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

bool LineGroup::add(const std::string& id, const Endpoint& endpoint, Failure& failure)
{
    std::unique_ptr<LineUpstream> upstream = std::make_unique<LineUpstream>(*this, id, endpoint);
    if (this->upstreams.empty()) {
        upstream->isPrimary = true;
        this->leader = upstream.get();
    }
    bool isOpen = upstream->listen(failure);
    this->upstreams.push_back(std::move(upstream));
    return isOpen;
}

LineUpstream* LineGroup::find(const std::string& id)
{
    for (const std::unique_ptr<LineUpstream>& upstream : this->upstreams) {
        if (upstream->id == id)
            return upstream.get();
    }
    return nullptr;
}

void LineGroup::crash(const std::string& id)
{
    this->runOnLoop([&] { this->find(id)->crash(); });
}

void LineGroup::setFault(const std::string& id, LineUpstream::Fault fault)
{
    this->runOnLoop([&] {
        this->find(id)->fault = fault;
        this->learnLater();
    });
}

int LineGroup::promote(const std::string& id)
{
    constexpr int accepted = 200;
    constexpr int refused = 409;
    const LineUpstream* chosen = this->find(id);
    if (chosen == nullptr || !chosen->isRunning || chosen->isIsolated)
        return refused;
    if (chosen != this->leader || !chosen->isPrimary)
        this->loop.schedule(this->promotionDelay, [this, id] { this->takeLead(id); });
    return accepted;
}

void LineGroup::takeLead(const std::string& id)
{
    LineUpstream* chosen = this->find(id);
    // A promotion of an upstream that is down is lost. A second one of the present primary changes nothing.
    if (!chosen->isRunning || (chosen == this->leader && chosen->isPrimary))
        return;
    chosen->isPaused = false;
    // An upstream that is cut off from the others can be the leader too: they learn of it later.
    chosen->term = this->leader->term + 1;
    this->leader = chosen;
    this->setRole(*chosen, true);
    this->learnLater();
}

void LineGroup::setRole(LineUpstream& upstream, bool isPrimary)
{
    if (std::exchange(upstream.isPrimary, isPrimary) != isPrimary && this->roleListener)
        this->roleListener(upstream.id, isPrimary);
}

bool LineGroup::canReachLeader(const LineUpstream& upstream) const
{
    bool isLeaderReachable = this->leader != &upstream && this->leader->isRunning && this->leader->isPrimary && !this->leader->isIsolated;
    // A pause ends with a promotion.
    bool isReceiving = !upstream.isDeaf && upstream.fault != LineUpstream::Fault::Silent && (!upstream.isPaused || upstream.term < this->leader->term);
    return isLeaderReachable && upstream.isRunning && !upstream.isIsolated && isReceiving;
}

void LineGroup::learnLater()
{
    for (const std::unique_ptr<LineUpstream>& upstream : this->upstreams)
        this->learnLater(*upstream);
}

void LineGroup::learnLater(LineUpstream& upstream)
{
    Duration delay = upstream.isPrimary ? this->stepDownDelay.load() : this->replicationLag;
    std::weak_ptr<bool> start = upstream.currentStart;
    // What is cut off when the delay is over learns of the leader once it is reconnected.
    this->loop.schedule(delay, [this, &upstream, start] {
        if (start.expired() || !this->canReachLeader(upstream))
            return;
        this->copyFromLeader(upstream);
        this->acknowledgeReceived();
    });
}

void LineGroup::copyFromLeader(LineUpstream& upstream)
{
    if (!this->canReachLeader(upstream))
        return;
    this->setRole(upstream, false);
    upstream.isPaused = upstream.isPaused && upstream.term == this->leader->term;
    upstream.term = this->leader->term;
    upstream.items = this->leader->items;
    upstream.headTerm = this->leader->headTerm;
    upstream.headNumber = this->leader->headNumber;
}

bool LineGroup::restart(const std::string& id, Failure& failure, bool keepsLog)
{
    bool isOpen = false;
    this->runOnLoop([&] {
        LineUpstream* upstream = this->find(id);
        if (!keepsLog) {
            upstream->items.clear();
            upstream->headNumber = 0;
        }
        if (upstream != this->leader)
            this->setRole(*upstream, false);
        isOpen = upstream->isRunning || upstream->listen(failure);
        this->learnLater();
    });
    return isOpen;
}

bool LineGroup::startSuccessor(const std::string& id, const std::string& predecessor, Failure& failure)
{
    bool isOpen = false;
    this->runOnLoop([&] {
        const LineUpstream* former = this->find(predecessor);
        std::unique_ptr<LineUpstream> upstream = std::make_unique<LineUpstream>(*this, id, former->endpoint);
        upstream->items = former->items;
        upstream->term = former->term;
        upstream->headTerm = former->headTerm;
        upstream->headNumber = former->headNumber;
        isOpen = upstream->listen(failure);
        this->upstreams.push_back(std::move(upstream));
        this->learnLater();
    });
    return isOpen;
}

void LineGroup::setIsolated(const std::string& id, bool isIsolated)
{
    this->runOnLoop([&] {
        LineUpstream* upstream = this->find(id);
        upstream->isIsolated = isIsolated;
        if (!isIsolated)
            this->learnLater();
    });
}

void LineGroup::setDeaf(const std::string& id, bool isDeaf)
{
    this->runOnLoop([&] {
        LineUpstream* upstream = this->find(id);
        upstream->isDeaf = isDeaf;
        if (!isDeaf)
            this->learnLater(*upstream);
    });
}

bool LineGroup::hasItem(const std::string& id, const std::string& item)
{
    bool isFound = false;
    this->runOnLoop([&] { isFound = this->find(id)->items.count(item) > 0; });
    return isFound;
}

bool LineGroup::isCommittedByFormerPrimary(const std::string& item)
{
    bool isFound = false;
    this->runOnLoop([&] { isFound = this->itemsCommittedByFormerPrimary.count(item) > 0; });
    return isFound;
}

void LineGroup::demoteLate(const std::string& id)
{
    this->runOnLoop([&] { this->find(id)->isPrimary = false; });
}

void LineGroup::pauseLate(const std::string& id)
{
    this->runOnLoop([&] { this->find(id)->isPaused = true; });
}

bool LineGroup::isPrimary(const std::string& id)
{
    bool isActing = false;
    this->runOnLoop([&] { isActing = this->find(id)->isPrimary; });
    return isActing;
}

std::uint64_t LineGroup::findHighestTerm()
{
    std::uint64_t highestTerm = 0;
    this->runOnLoop([&] {
        for (const std::unique_ptr<LineUpstream>& upstream : this->upstreams)
            highestTerm = std::max(highestTerm, upstream->term);
    });
    return highestTerm;
}

void LineGroup::commit(LineUpstream& primary, const std::map<std::string, std::string>& writes, std::function<void()> acknowledge)
{
    if (writes.empty())
        return acknowledge();
    for (const std::pair<const std::string, std::string>& write : writes) {
        primary.items[write.first] = write.second;
        this->committedItems.insert(write.first);
        if (this->leader != &primary)
            this->itemsCommittedByFormerPrimary.insert(write.first);
    }
    primary.headTerm = primary.term;
    primary.headNumber++;
    this->replicate(primary, writes);
    if (!this->isSynchronous)
        return acknowledge();
    this->pendingCommits.push_back({ &primary, primary.headTerm, primary.headNumber, std::move(acknowledge) });
}

void LineGroup::acknowledgeReceived()
{
    std::vector<PendingCommit> waiting = std::exchange(this->pendingCommits, {});
    for (PendingCommit& commit : waiting) {
        bool isReceived = std::any_of(this->upstreams.begin(), this->upstreams.end(), [&commit](const std::unique_ptr<LineUpstream>& upstream) {
            return upstream.get() != commit.primary && upstream->headTerm == commit.term && upstream->headNumber >= commit.number;
        });
        if (isReceived && commit.primary->isRunning)
            commit.acknowledge();
        else
            this->pendingCommits.push_back(std::move(commit));
    }
}

void LineGroup::replicate(const LineUpstream& primary, const std::map<std::string, std::string>& writes)
{
    std::uint64_t term = primary.headTerm;
    std::uint64_t number = primary.headNumber;
    this->loop.schedule(this->replicationLag, [this, &primary, writes, term, number] {
        for (const std::unique_ptr<LineUpstream>& upstream : this->upstreams) {
            bool isCutOff = upstream->isPaused || upstream->isDeaf || upstream->isIsolated || primary.isIsolated || !upstream->isRunning;
            if (upstream.get() == &primary || isCutOff || upstream->term != term || upstream->headNumber >= number)
                continue;
            // A replica that missed changes while it was cut off takes over the whole state.
            if (upstream->headNumber + 1 != number) {
                this->copyFromLeader(*upstream);
                continue;
            }
            for (const std::pair<const std::string, std::string>& write : writes)
                upstream->items[write.first] = write.second;
            upstream->headTerm = term;
            upstream->headNumber = number;
        }
        this->acknowledgeReceived();
    });
}

std::size_t LineGroup::countCommits(const std::string& item)
{
    std::size_t count = 0;
    this->runOnLoop([&] { count = this->committedItems.count(item); });
    return count;
}

void LineGroup::checkName(const std::string& connectionName, const std::string& statementId, const std::string& text)
{
    std::size_t endOfWorkspace = statementId.find('/');
    if (endOfWorkspace == std::string::npos)
        return;
    this->lastArrivals[statementId.substr(0, statementId.rfind('/') + 1)] = SystemClock().now();
    if (statementId.substr(0, endOfWorkspace) != connectionName)
        this->wrongNames.push_back(statementId + " \"" + text + "\" on a connection of " + connectionName);
}

std::vector<std::string> LineGroup::listWrongNames()
{
    std::vector<std::string> found;
    this->runOnLoop([&] { found = this->wrongNames; });
    return found;
}

std::optional<TimePoint> LineGroup::findLastArrival(const std::string& idPrefix)
{
    std::optional<TimePoint> found;
    this->runOnLoop([&] {
        std::map<std::string, TimePoint>::const_iterator last = this->lastArrivals.find(idPrefix);
        if (last != this->lastArrivals.end())
            found = last->second;
    });
    return found;
}

std::set<std::string> LineGroup::listNames()
{
    std::set<std::string> found;
    this->runOnLoop([&] { found = this->names; });
    return found;
}

std::string LineGroup::findPrimary()
{
    std::string found;
    this->runOnLoop([&] { found = this->leader->isPrimary ? this->leader->id : ""; });
    return found;
}

} // namespace lentiljunction::standin
