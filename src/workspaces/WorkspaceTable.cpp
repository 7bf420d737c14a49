#include "lentiljunction/workspaces/WorkspaceTable.h"

#include <algorithm>
#include <utility>

namespace lentiljunction {

WorkspaceTable::Conflict WorkspaceTable::add(WorkspaceConfig workspace)
{
    if (this->find(workspace.name) != nullptr)
        return Conflict::NameExists;
    bool isKeyHeld = std::any_of(workspace.keys.begin(), workspace.keys.end(), [this](const KeyDigest& key) { return this->find(key) != nullptr; });
    if (isKeyHeld)
        return Conflict::KeyExists;
    for (const KeyDigest& key : workspace.keys)
        this->owners.emplace(key, workspace.name);
    WorkspaceId name = workspace.name;
    this->workspaces.emplace(std::move(name), std::move(workspace));
    return Conflict::None;
}

const WorkspaceConfig* WorkspaceTable::find(const KeyDigest& key) const
{
    std::unordered_map<KeyDigest, WorkspaceId>::const_iterator owner = this->owners.find(key);
    return owner == this->owners.end() ? nullptr : this->find(owner->second);
}

const WorkspaceConfig* WorkspaceTable::find(const WorkspaceId& name) const
{
    std::map<WorkspaceId, WorkspaceConfig>::const_iterator found = this->workspaces.find(name);
    return found == this->workspaces.end() ? nullptr : &found->second;
}

} // namespace lentiljunction
