#include "GateService.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

GateService::GateService(UpstreamGate::Dependencies dependencies)
    : dependencies(std::move(dependencies))
{
}

void GateService::setBundle(std::shared_ptr<const Bundle> newBundle)
{
    this->bundle = std::move(newBundle);
    for (const std::pair<const DatabaseId, DatabaseConfig>& entry : this->bundle->databases) {
        std::map<DatabaseId, std::unique_ptr<GroupState>>::iterator group = this->groups.find(entry.first);
        if (group != this->groups.end())
            group->second->setDatabase(entry.second);
        for (const UpstreamConfig& upstream : entry.second.upstreams) {
            std::map<UpstreamId, std::unique_ptr<UpstreamGate>>::iterator gate = this->upstreams.find(upstream.id);
            if (gate != this->upstreams.end())
                gate->second->setBundle(*this->bundle, entry.second);
        }
    }
}

void GateService::setGates(std::shared_ptr<const GateMap> newGates)
{
    this->gates = std::move(newGates);
    for (std::pair<const UpstreamId, std::unique_ptr<UpstreamGate>>& entry : this->upstreams)
        entry.second->setGateRole(this->getGateRole(entry.first));
}

UpstreamGate::GateRole GateService::getGateRole(const UpstreamId& upstream) const
{
    if (this->gates->isGate(this->dependencies.self, upstream))
        return UpstreamGate::GateRole::Gate;
    bool isCandidate = this->gates->isCandidate(this->dependencies.self, upstream);
    return isCandidate ? UpstreamGate::GateRole::Candidate : UpstreamGate::GateRole::Former;
}

void GateService::setLeaving(std::set<UpstreamId> newLeaving)
{
    this->leaving = std::move(newLeaving);
    for (std::pair<const UpstreamId, std::unique_ptr<UpstreamGate>>& entry : this->upstreams)
        entry.second->setLeaving(this->leaving.count(entry.first) > 0);
}

void GateService::execute(HopRequest hop, UpstreamGate::ResponseHandler handler)
{
    HopResponse refusal;
    refusal.hop = hop.hop;
    const DatabaseConfig* database = this->bundle == nullptr ? nullptr : this->bundle->findDatabase(hop.request.database);
    const UpstreamConfig* upstream = database == nullptr ? nullptr : database->findUpstream(hop.upstream);
    if (upstream == nullptr) {
        refusal.outcome = Outcome::notRun(NotRunReason::WrongGate, "this instance does not know the upstream");
        handler(std::move(refusal));
        return;
    }

    bool continuesTransaction = !hop.request.transaction.isEmpty();
    if (!continuesTransaction && !this->gates->isCandidate(this->dependencies.self, upstream->id)) {
        refusal.outcome = Outcome::notRun(NotRunReason::WrongGate, "this instance is not a gate of the upstream");
        handler(std::move(refusal));
        return;
    }
    this->activeGroups.insert(database->id);
    this->getGate(*database, *upstream).execute(std::move(hop), std::move(handler));
}

void GateService::onStatus(const DatabaseId& database, const UpstreamId& upstream, const UpstreamStatus& status, TimePoint requestedAt)
{
    const DatabaseConfig* config = this->bundle == nullptr ? nullptr : this->bundle->findDatabase(database);
    if (config == nullptr)
        return;

    GroupState& group = this->getGroup(*config);
    group.onStatus(upstream, status, requestedAt);
    group.resolve(this->dependencies.clock.now());
    std::map<UpstreamId, std::unique_ptr<UpstreamGate>>::iterator gate = this->upstreams.find(upstream);
    if (gate == this->upstreams.end())
        return;
    gate->second->setLeaving(status.isLeaving || this->leaving.count(upstream) > 0);
    gate->second->onGroupChanged();
}

void GateService::onPrimaryReachable(const DatabaseId& database, bool isReachable)
{
    const DatabaseConfig* config = this->bundle == nullptr ? nullptr : this->bundle->findDatabase(database);
    if (config != nullptr)
        this->getGroup(*config).setPrimaryReachable(isReachable);
}

void GateService::onTick()
{
    TimePoint now = this->dependencies.clock.now();
    for (std::pair<const DatabaseId, std::unique_ptr<GroupState>>& entry : this->groups)
        entry.second->resolve(now);
    for (std::pair<const UpstreamId, std::unique_ptr<UpstreamGate>>& entry : this->upstreams)
        entry.second->onTick();
}

bool GateService::isIdle() const
{
    bool isWaiting = std::any_of(this->groups.begin(), this->groups.end(), [](const std::pair<const DatabaseId, std::unique_ptr<GroupState>>& entry) { return entry.second->hasWaitingWrites(); });
    bool isBusy = std::any_of(this->upstreams.begin(), this->upstreams.end(), [](const std::pair<const UpstreamId, std::unique_ptr<UpstreamGate>>& entry) { return !entry.second->isIdle(); });
    return !isWaiting && !isBusy;
}

std::vector<DatabaseId> GateService::takeActiveGroups()
{
    std::vector<DatabaseId> active(this->activeGroups.begin(), this->activeGroups.end());
    this->activeGroups.clear();
    return active;
}

GroupState& GateService::getGroup(const DatabaseConfig& database)
{
    std::unique_ptr<GroupState>& group = this->groups[database.id];
    if (group == nullptr)
        group = std::make_unique<GroupState>(database);
    return *group;
}

UpstreamGate& GateService::getGate(const DatabaseConfig& database, const UpstreamConfig& upstream)
{
    std::unique_ptr<UpstreamGate>& gate = this->upstreams[upstream.id];
    if (gate == nullptr) {
        gate = std::make_unique<UpstreamGate>(this->dependencies, *this->bundle, database, upstream, this->getGroup(database));
        gate->setLeaving(this->leaving.count(upstream.id) > 0);
        gate->setGateRole(this->getGateRole(upstream.id));
    }
    return *gate;
}

} // namespace lentiljunction
