#include "lentiljunction/admission/RankQueue.h"

#include "lentiljunction/core/ProcessEnd.h"

#include <algorithm>
#include <iterator>

namespace lentiljunction {

namespace {

    constexpr Duration initialServiceTime = std::chrono::milliseconds(2);
    /// The weight of the newest sample in the moving averages.
    constexpr double serviceTimeWeight = 0.1;
    constexpr double shareWeight = 0.02;
    /// Limits the credit, so that a rank that waited long does not get a burst of starts.
    constexpr double maximumCredit = 2.0;
    /// The share that is assumed in wait estimates for a rank without a floor.
    constexpr double minimumShare = 0.01;
    /// Smallest part of a start that a caller earns with each turn, whatever its weight. Rates differ by a factor of more
    /// than 200, and several requests of a small caller that arrive together would wait for as many turns.
    constexpr double minimumTurn = 0.125;
    /// Absorbs rounding errors of the added parts.
    constexpr double fullTurn = 1 - 1e-9;

    Duration scale(Duration duration, double factor)
    {
        return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
    }

} // namespace

RankQueue::RankQueue(const std::array<RankConfig, numRanks>& ranks)
    : ranks(ranks)
    , meanServiceTime(initialServiceTime)
{
}

std::optional<Outcome> RankQueue::offer(const Request& request, TimePoint now)
{
    Duration wait = this->estimateWait(request);
    Duration target = this->ranks[toIndex(request.rank)].target;
    std::chrono::milliseconds retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(wait) + std::chrono::milliseconds(1);
    if (wait > target)
        return Outcome::notRun(NotRunReason::QueueFull, "the expected wait exceeds the target of rank " + toString(request.rank), retryAfter);

    // The estimate must not refuse the work that would correct it: with nothing waiting, only an expired deadline refuses.
    Duration service = this->isEmpty() ? Duration(0) : this->meanServiceTime;
    if (now + wait + service > request.deadline)
        return Outcome::notRun(NotRunReason::DeadlineTooShort, "the expected wait exceeds the request's deadline", retryAfter);

    Lane& lane = this->lanes[toIndex(request.rank)];
    std::list<CallerQueue>::iterator callerQueue = std::find_if(lane.callerQueues.begin(), lane.callerQueues.end(), [&](const CallerQueue& candidate) { return candidate.caller == request.caller; });
    if (callerQueue == lane.callerQueues.end())
        callerQueue = lane.callerQueues.insert(lane.callerQueues.end(), CallerQueue { request.caller, {}, 1 });

    callerQueue->requests.push_back(request);
    lane.numWaiting++;
    return std::nullopt;
}

std::optional<RankQueue::Request> RankQueue::takeNext(TimePoint now, const Filter& isReady)
{
    (void)now;
    std::optional<Rank> rank = this->chooseRank(isReady);
    if (!rank)
        return std::nullopt;

    this->updateShares(*rank);
    return takeFromLane(this->lanes[toIndex(*rank)], isReady);
}

const RankQueue::Request* RankQueue::findFirst(const Filter& filter) const
{
    for (const Lane& lane : this->lanes) {
        for (const CallerQueue& callerQueue : lane.callerQueues) {
            if (!filter || filter(callerQueue.requests.front()))
                return &callerQueue.requests.front();
        }
    }
    return nullptr;
}

std::vector<RankQueue::Request> RankQueue::takeExpired(TimePoint now)
{
    std::vector<Request> expired;
    for (Lane& lane : this->lanes) {
        for (CallerQueue& callerQueue : lane.callerQueues) {
            std::deque<Request>::iterator kept = std::stable_partition(callerQueue.requests.begin(), callerQueue.requests.end(), [&](const Request& request) { return request.deadline > now; });
            lane.numWaiting -= static_cast<std::size_t>(std::distance(kept, callerQueue.requests.end()));
            expired.insert(expired.end(), kept, callerQueue.requests.end());
            callerQueue.requests.erase(kept, callerQueue.requests.end());
        }
        lane.callerQueues.remove_if([](const CallerQueue& callerQueue) { return callerQueue.requests.empty(); });
    }
    return expired;
}

bool RankQueue::remove(Ticket ticket)
{
    for (Lane& lane : this->lanes) {
        for (std::list<CallerQueue>::iterator callerQueue = lane.callerQueues.begin(); callerQueue != lane.callerQueues.end(); ++callerQueue) {
            std::deque<Request>::iterator found = std::find_if(callerQueue->requests.begin(), callerQueue->requests.end(), [&](const Request& request) { return request.ticket == ticket; });
            if (found == callerQueue->requests.end())
                continue;

            callerQueue->requests.erase(found);
            lane.numWaiting--;
            if (callerQueue->requests.empty())
                lane.callerQueues.erase(callerQueue);
            return true;
        }
    }
    return false;
}

void RankQueue::onFinished(Duration serviceTime)
{
    this->meanServiceTime = scale(this->meanServiceTime, 1 - serviceTimeWeight) + scale(serviceTime, serviceTimeWeight);
}

Duration RankQueue::estimateWait(Rank rank) const
{
    return this->estimateWait(rank, static_cast<double>(this->lanes[toIndex(rank)].numWaiting));
}

Duration RankQueue::estimateWait(const Request& request) const
{
    if (!this->areEstimatesByCaller)
        return this->estimateWait(request.rank);
    return this->estimateWait(request.rank, countAhead(this->lanes[toIndex(request.rank)], request));
}

double RankQueue::countAhead(const Lane& lane, const Request& request)
{
    double largest = request.weight;
    double numOwn = 0;
    for (const CallerQueue& callerQueue : lane.callerQueues) {
        largest = std::max(largest, callerQueue.requests.front().weight);
        if (callerQueue.caller == request.caller)
            numOwn = static_cast<double>(callerQueue.requests.size());
    }
    double part = largest > 0 ? std::max(request.weight / largest, minimumTurn) : 1;
    // Each other caller starts at most once in each turn.
    double numTurns = 1 + numOwn / part;
    double number = numOwn;
    for (const CallerQueue& callerQueue : lane.callerQueues) {
        if (callerQueue.caller != request.caller)
            number += std::min(static_cast<double>(callerQueue.requests.size()), numTurns);
    }
    return number;
}

Duration RankQueue::estimateWait(Rank rank, double numAheadInLane) const
{
    const Lane& lane = this->lanes[toIndex(rank)];
    double numAhead = numAheadInLane;
    for (std::size_t index = 0; index < toIndex(rank); index++)
        numAhead += static_cast<double>(this->lanes[index].numWaiting);

    double floorShare = std::max(this->ranks[toIndex(rank)].floorPercent / 100.0, minimumShare);
    double share = std::max(lane.share, floorShare);
    Duration strictWait = scale(this->meanServiceTime, numAhead / this->concurrency);
    Duration sharedWait = scale(this->meanServiceTime, numAheadInLane / this->concurrency / share);
    Duration floorWait = scale(this->meanServiceTime, (numAheadInLane + 1) / this->concurrency / floorShare);
    return std::min(std::max(strictWait, sharedWait), floorWait);
}

std::size_t RankQueue::getNumWaiting(Rank rank) const
{
    return this->lanes[toIndex(rank)].numWaiting;
}

bool RankQueue::isEmpty() const
{
    return std::all_of(this->lanes.begin(), this->lanes.end(), [](const Lane& lane) { return lane.numWaiting == 0; });
}

bool RankQueue::hasReady(const Lane& lane, const Filter& isReady)
{
    if (!isReady)
        return lane.numWaiting > 0;
    return std::any_of(lane.callerQueues.begin(), lane.callerQueues.end(), [&isReady](const CallerQueue& callerQueue) { return isReady(callerQueue.requests.front()); });
}

std::optional<Rank> RankQueue::chooseRank(const Filter& isReady)
{
    std::array<bool, numRanks> areReady {};
    std::optional<Rank> strict;
    for (Rank rank : allRanks) {
        areReady[toIndex(rank)] = hasReady(this->lanes[toIndex(rank)], isReady);
        if (!strict && areReady[toIndex(rank)])
            strict = rank;
    }
    if (!strict)
        return std::nullopt;

    std::optional<Rank> earned;
    for (Rank rank : allRanks) {
        Lane& lane = this->lanes[toIndex(rank)];
        if (lane.numWaiting == 0) {
            lane.credit = 0;
            continue;
        }
        lane.credit = std::min(lane.credit + this->ranks[toIndex(rank)].floorPercent / 100.0, maximumCredit);
        if (!earned && lane.credit >= 1 && areReady[toIndex(rank)])
            earned = rank;
    }

    Rank chosen = earned.value_or(*strict);
    Lane& lane = this->lanes[toIndex(chosen)];
    lane.credit = std::max(lane.credit - 1, 0.0);
    return chosen;
}

void RankQueue::updateShares(Rank started)
{
    for (Rank rank : allRanks) {
        Lane& lane = this->lanes[toIndex(rank)];
        if (lane.numWaiting == 0) {
            lane.share = lane.share + shareWeight * (1 - lane.share);
            continue;
        }
        double sample = rank == started ? 1.0 : 0.0;
        lane.share = lane.share + shareWeight * (sample - lane.share);
    }
}

RankQueue::Request RankQueue::takeFromLane(Lane& lane, const Filter& isReady)
{
    double largest = 0;
    for (const CallerQueue& callerQueue : lane.callerQueues)
        largest = std::max(largest, callerQueue.requests.front().weight);
    for (;;) {
        std::list<CallerQueue>::iterator turn = std::find_if(lane.callerQueues.begin(), lane.callerQueues.end(), [&isReady](const CallerQueue& callerQueue) { return !isReady || isReady(callerQueue.requests.front()); });
        checkInvariant(turn != lane.callerQueues.end(), "a lane that is served has a request that is ready");
        double part = largest > 0 ? turn->requests.front().weight / largest : 1;
        turn->credit = std::min(turn->credit + std::max(part, minimumTurn), 1.0);
        lane.callerQueues.splice(lane.callerQueues.end(), lane.callerQueues, turn);
        if (turn->credit < fullTurn)
            continue;
        turn->credit -= 1;
        Request request = turn->requests.front();
        turn->requests.pop_front();
        lane.numWaiting--;
        if (turn->requests.empty())
            lane.callerQueues.erase(turn);
        return request;
    }
}

} // namespace lentiljunction
