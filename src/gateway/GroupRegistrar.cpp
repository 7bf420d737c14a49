#include "GroupRegistrar.h"

#include "lentiljunction/core/LogEvents.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

GroupRegistrar::GroupRegistrar(EventLoop& loop, const Clock& clock, UpstreamCommander& commander, PrimaryRecordWriter& writer, const KnownState& state, InstanceId self)
    : loop(loop)
    , clock(clock)
    , commander(commander)
    , writer(writer)
    , state(state)
    , self(std::move(self))
{
}

bool GroupRegistrar::isCoordinator() const
{
    const PrimaryView& view = this->state.getLeaseTracker().getView();
    return view.hasValidLease(this->clock.bootNow()) && view.latest.record->coordinator == this->self;
}

void GroupRegistrar::check()
{
    if (this->isWriting || this->state.getRoutes() == nullptr || !this->isCoordinator())
        return;
    if (this->registration.isDue(this->getRecord(), { this->state.getRoutes()->groups, this->state.getUpstreamList() }, this->clock.now()))
        this->write();
    this->surveyLogs();
}

void GroupRegistrar::surveyLogs()
{
    LogHolderRemoval::GoneCheck isGone = [this](const UpstreamId& upstream) { return this->state.isUpstreamGone(upstream); };
    std::vector<GroupId> groups = this->removal.listGroupsToAsk(this->getRecord(), this->state.getUpstreamList(), isGone, this->clock.now());
    if (groups.empty())
        return;
    for (const GroupId& group : groups)
        this->requestLogs(group);
    this->loop.schedule(logConfirmationDelay, [this] { this->check(); });
}

void GroupRegistrar::write()
{
    this->isWriting = true;
    this->writer.submit(
        [this](PrimaryRecord& record) {
            if (record.coordinator != this->self || !this->isCoordinator())
                return false;
            return GroupRegistration::complete(record, { this->state.getRoutes()->groups, this->state.getUpstreamList() });
        },
        [this](bool isWritten, BootTime) {
            this->isWriting = false;
            logEvent(events::groupsRegistered, "written=" + std::to_string(isWritten) + " groups=" + std::to_string(this->getRecord().groups.size()) + " lead_revision=" + std::to_string(this->state.getLeaseTracker().getView().latest.revision.value()));
        });
}

void GroupRegistrar::requestLogs(const GroupId& group)
{
    std::vector<UpstreamEntry> upstreams;
    Survey survey;
    survey.generation = this->getRecord().find(group)->generation;
    for (const std::pair<const UpstreamId, UpstreamEntry>& upstream : this->state.getUpstreamList().entries) {
        if (upstream.second.group != group)
            continue;
        survey.pending.insert(upstream.first);
        upstreams.push_back(upstream.second);
    }
    // One that is not over began with an older list.
    if (!this->surveys.emplace(group, std::move(survey)).second)
        return;
    for (const UpstreamEntry& upstream : upstreams)
        this->commander.requestStatus(upstream, [this, group, id = upstream.id](const std::optional<ReplicationStatus>& status, bool) { this->onLog(group, id, status); });
}

void GroupRegistrar::onLog(const GroupId& group, const UpstreamId& upstream, const std::optional<ReplicationStatus>& status)
{
    std::map<GroupId, Survey>::iterator found = this->surveys.find(group);
    if (found == this->surveys.end())
        return;
    if (status)
        found->second.statuses[upstream] = *status;
    found->second.pending.erase(upstream);
    if (!found->second.pending.empty())
        return;
    Survey survey = std::move(found->second);
    this->surveys.erase(found);
    const PrimaryEntry* entry = this->getRecord().find(group);
    if (entry == nullptr || entry->generation != survey.generation)
        return;
    std::map<GroupId, GroupConfig>::const_iterator config = this->state.getRoutes()->groups.find(group);
    std::size_t numSynchronousReplicas = config == this->state.getRoutes()->groups.end() ? 1 : std::max<std::size_t>(1, config->second.numSynchronousReplicas);
    std::vector<LogHolder> holders = this->removal.onStatuses(this->getRecord(), group, this->state.getUpstreamList(), survey.statuses, numSynchronousReplicas);
    if (!holders.empty())
        this->removeHolders(group, survey.generation, std::move(holders));
}

void GroupRegistrar::removeHolders(const GroupId& group, std::uint64_t generation, std::vector<LogHolder> holders)
{
    std::string names;
    for (const LogHolder& holder : holders)
        names += (names.empty() ? "" : ",") + holder.upstream.toString();
    this->writer.submit(
        [this, group, generation, holders = std::move(holders)](PrimaryRecord& record) { return record.coordinator == this->self && LogHolderRemoval::remove(record, group, generation, holders); },
        [group, names](bool isWritten, BootTime) { logEvent(events::logHoldersRemoved, "group=" + group.toString() + " upstreams=" + names + " written=" + std::to_string(isWritten)); });
}

} // namespace lentiljunction
