#include "lentiljunction/interactive/SessionContext.h"

#include <algorithm>

namespace lentiljunction {

const PreparedShape* SessionContext::findPrepared(const std::string& name) const
{
    std::map<std::string, PreparedShape>::const_iterator found = this->prepared.find(name);
    return found == this->prepared.end() ? nullptr : &found->second;
}

std::set<std::string> SessionContext::listSharedNames() const
{
    std::set<std::string> names;
    for (const std::pair<const std::string, PreparedShape>& entry : this->prepared)
        names.insert(getSharedName(entry.second));
    return names;
}

std::string SessionContext::getSharedName(const PreparedShape& shape)
{
    return (shape.mode == AccessMode::Read ? "r-" : "w-") + shape.shape;
}

bool SessionContext::hasForeignValues(const ConnectionContext& connection) const
{
    return std::any_of(connection.values.begin(), connection.values.end(), [this](const std::pair<const std::string, std::string>& entry) {
        return this->values.count(entry.first) == 0;
    });
}

std::vector<UpstreamCommand> SessionContext::planPreparation(ConnectionContext& connection, const PreparedShape* needed, bool mayReset) const
{
    std::vector<UpstreamCommand> commands;
    // Single values cannot be removed, so values of another session require a reset.
    if (this->hasForeignValues(connection) || (mayReset && connection.preparedNames.size() > SessionContext::maximumPreparedNames)) {
        commands.push_back({ UpstreamCommand::Kind::Reset, {}, "", "", AccessMode::Write, std::nullopt, Term() });
        connection = ConnectionContext();
    }
    for (const std::pair<const std::string, std::string>& value : this->values) {
        std::map<std::string, std::string>::iterator present = connection.values.find(value.first);
        if (present != connection.values.end() && present->second == value.second)
            continue;
        commands.push_back({ UpstreamCommand::Kind::SetValue, {}, value.first, value.second, AccessMode::Write, std::nullopt, Term() });
        connection.values[value.first] = value.second;
    }
    if (needed != nullptr && connection.preparedNames.insert(getSharedName(*needed)).second)
        commands.push_back({ UpstreamCommand::Kind::Prepare, {}, getSharedName(*needed), needed->shape, needed->mode, std::nullopt, Term() });
    return commands;
}

} // namespace lentiljunction
