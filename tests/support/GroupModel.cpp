#include "GroupModel.h"

#include <algorithm>

namespace lentiljunction::tests {

namespace {

    constexpr std::size_t numMembers = 3;
    constexpr std::size_t numGates = 2;
    constexpr std::size_t majority = 2;
    /// The limit of pending messages, so that messages are delivered and logs advance.
    constexpr std::size_t maximumPendingMessages = 8;
    constexpr Duration noDeadline = std::chrono::hours(1000);

} // namespace

struct GroupModel::Gate {
    explicit Gate(Durability durability)
        : tracker(majority, durability)
    {
    }

    ConfirmationTracker tracker;
    std::shared_ptr<Promotion> promotion;
    Term highest { 1 };
};

GroupModel::GroupModel(std::uint64_t seed, Durability durability)
    : random(seed)
    , data(std::make_unique<NullApplier>())
    , now(std::chrono::hours(1))
    , promotionsPerThousand(1 + this->random.below(10))
{
    for (std::size_t index = 0; index < numMembers; index++) {
        this->ids.emplace_back("member-" + std::to_string(index));
        this->logs.push_back(std::make_unique<standins::DatabaseLog>(*this->data));
    }
    for (std::size_t index = 0; index < numGates; index++)
        this->gates.push_back(std::make_unique<Gate>(durability));
    this->logs.front()->bootstrap(Term(1));
    this->recordPrimaries();
}

GroupModel::~GroupModel() = default;

void GroupModel::run(int numSteps)
{
    for (int count = 0; count < numSteps; count++)
        this->step();
}

std::optional<std::string> GroupModel::findViolation()
{
    if (this->violation)
        return this->violation;

    for (const std::pair<const Term, std::set<std::size_t>>& entry : this->primariesOfTerms) {
        if (entry.second.size() > 1)
            return "term " + std::to_string(entry.first.value()) + " had two primaries";
    }

    // A final promotion without faults, among a random majority: the log of the new primary must contain
    // all confirmed writes.
    this->messages.clear();
    std::size_t absent = this->random.below(numMembers);
    std::vector<UpstreamId> present;
    for (std::size_t index = 0; index < numMembers; index++) {
        if (index != absent)
            present.push_back(this->ids[index]);
    }
    Promotion last(this->nextTerm, present, {}, majority, this->now);
    while (last.getState() == Promotion::State::Fencing || last.getState() == Promotion::State::Promoting) {
        for (const Promotion::Command& command : last.takeCommands()) {
            standins::DatabaseLog& log = *this->logs[this->indexOf(command.upstream)];
            UpstreamStatus status = command.operation == Promotion::Operation::Fence ? log.fence(command.term) : log.promote(command.term);
            last.onAnswer(command.upstream, command.operation, status, this->now);
        }
    }
    if (last.getState() != Promotion::State::Done)
        return "a promotion without faults failed: " + last.getFailureReason();

    UpstreamStatus winner = this->logs[this->indexOf(last.getTarget())]->getStatus();
    for (const LogPoint& point : this->confirmed) {
        if (winner.getCoverage(point) != Coverage::Covered)
            return "a confirmed write of term " + std::to_string(point.term.value()) + " at " + std::to_string(point.position.value()) + " is lost";
    }
    for (const LogPoint& point : this->lost) {
        if (winner.getCoverage(point) == Coverage::Covered)
            return "a write that was reported lost is in the log of the new primary";
    }
    return std::nullopt;
}

void GroupModel::step()
{
    this->now += std::chrono::milliseconds(1);
    Gate& gate = *this->gates[this->random.below(numGates)];
    std::uint64_t choice = this->random.below(1000);
    if (choice < 100)
        this->write();
    else if (choice < 350)
        this->replicate();
    else if (choice < 550)
        this->requestStatus(gate, this->random.below(numMembers));
    else if (choice < 550 + this->promotionsPerThousand)
        this->startPromotion(gate);
    else
        this->deliverOne();
    while (this->messages.size() > maximumPendingMessages)
        this->deliverOne();
    this->sendCommands(gate);
    this->resolve(gate);
    this->recordPrimaries();
}

void GroupModel::write()
{
    std::size_t member = this->random.below(numMembers);
    Gate& gate = *this->gates[this->random.below(numGates)];
    if (!this->logs[member]->commit({ "write" }, [] {}))
        return;

    // The status is read after the commit in the same batch.
    UpstreamStatus status = this->logs[member]->getStatus();
    ConfirmationTracker::Ticket ticket = this->nextTicket++;
    this->written[ticket] = status.head;
    gate.tracker.add({ ticket, status.head, this->now, this->now + noDeadline });
    gate.tracker.onStatus(this->ids[member], status, this->now);
}

void GroupModel::replicate()
{
    std::size_t from = this->random.below(numMembers);
    std::size_t to = this->random.below(numMembers);
    if (from != to)
        this->replicateBetween(from, to, this->random.below(5));
}

void GroupModel::replicateBetween(std::size_t from, std::size_t to, std::size_t numAtMost)
{
    // A sender may underestimate the receiver's log, so the batch begins anywhere up to the receiver's head.
    std::uint64_t receiverHead = this->logs[to]->getStatus().head.position.value();
    std::uint64_t begin = receiverHead - this->random.below(std::min<std::uint64_t>(receiverHead, 4) + 1);
    std::optional<standins::ReplicationBatch> batch = this->logs[from]->getBatch(Position(begin), std::chrono::milliseconds(0));
    if (!batch)
        return;
    if (batch->entries.size() > numAtMost)
        batch->entries.resize(numAtMost);
    this->messages.push_back([this, to, batch] { this->logs[to]->receive(*batch); });
}

void GroupModel::requestStatus(Gate& gate, std::size_t member)
{
    TimePoint requestedAt = this->now;
    this->messages.push_back([this, &gate, member, requestedAt] {
        UpstreamStatus status = this->logs[member]->getStatus();
        // The response takes a random time.
        this->messages.push_back([this, &gate, member, requestedAt, status] {
            gate.tracker.onStatus(this->ids[member], status, requestedAt);
            gate.highest = std::max(gate.highest, status.fencedTerm);
        });
    });
}

void GroupModel::startPromotion(Gate& gate)
{
    this->nextTerm = Term(this->nextTerm.value() + 1 + this->random.below(2));
    gate.promotion = std::make_shared<Promotion>(this->nextTerm, this->ids, std::vector<UpstreamId>(), majority, this->now);
    this->nextTerm = this->nextTerm.next();
}

void GroupModel::sendCommands(Gate& gate)
{
    if (gate.promotion == nullptr)
        return;
    std::shared_ptr<Promotion> promotion = gate.promotion;
    promotion->onTick(this->now);
    for (const Promotion::Command& command : promotion->takeCommands()) {
        this->messages.push_back([this, promotion, command] {
            standins::DatabaseLog& log = *this->logs[this->indexOf(command.upstream)];
            UpstreamStatus status = command.operation == Promotion::Operation::Fence ? log.fence(command.term) : log.promote(command.term);
            this->messages.push_back([this, promotion, command, status] {
                bool wasDone = promotion->getState() == Promotion::State::Done;
                promotion->onAnswer(command.upstream, command.operation, status, this->now);
                if (!wasDone && promotion->getState() == Promotion::State::Done)
                    this->numPromotions++;
            });
        });
    }
}

void GroupModel::deliverOne()
{
    if (this->messages.empty())
        return;

    std::size_t index = this->random.below(this->messages.size());
    std::function<void()> message = this->messages[index];
    std::uint64_t fate = this->random.below(10);
    bool isKept = fate == 0;
    bool isLost = fate == 1;
    if (!isKept)
        this->messages.erase(this->messages.begin() + static_cast<std::ptrdiff_t>(index));
    if (!isLost)
        message();
}

void GroupModel::resolve(Gate& gate)
{
    for (const ConfirmationTracker::Resolution& resolution : gate.tracker.takeResolved(this->now)) {
        LogPoint point = this->written[resolution.ticket];
        if (resolution.verdict == ConfirmationTracker::Verdict::Lost)
            this->lost.push_back(point);
        if (resolution.verdict != ConfirmationTracker::Verdict::Confirmed)
            continue;

        this->confirmed.push_back(point);
        for (const std::unique_ptr<standins::DatabaseLog>& log : this->logs) {
            UpstreamStatus status = log->getStatus();
            bool isNewerPrimary = status.isPrimary && status.head.term > point.term;
            if (isNewerPrimary && status.getCoverage(point) != Coverage::Covered)
                this->violation = "a write was confirmed that is missing from the log of a newer primary";
        }
    }
}

void GroupModel::recordPrimaries()
{
    for (std::size_t index = 0; index < numMembers; index++) {
        UpstreamStatus status = this->logs[index]->getStatus();
        if (status.isPrimary)
            this->primariesOfTerms[status.fencedTerm].insert(index);
    }
}

std::size_t GroupModel::indexOf(const UpstreamId& id) const
{
    return static_cast<std::size_t>(std::find(this->ids.begin(), this->ids.end(), id) - this->ids.begin());
}

} // namespace lentiljunction::tests
