#include "lentiljunction/interactive/SessionContext.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// The memory of an entry beside its texts, in bytes.
    constexpr std::size_t entrySize = 128;

} // namespace

void SessionContext::setValue(const std::string& name, const std::string& value)
{
    std::pair<std::map<std::string, std::string>::iterator, bool> inserted = this->values.emplace(name, std::string());
    if (inserted.second)
        this->size += entrySize + name.size();
    this->size += value.size() - inserted.first->second.size();
    inserted.first->second = value;
}

void SessionContext::prepare(const std::string& name, const PreparedShape& shape)
{
    this->deallocate(name);
    this->prepared.emplace(name, shape);
    this->size += entrySize + name.size() + shape.shape.size();
}

bool SessionContext::deallocate(const std::string& name)
{
    std::map<std::string, PreparedShape>::iterator found = this->prepared.find(name);
    if (found == this->prepared.end())
        return false;
    this->size -= entrySize + name.size() + found->second.shape.size();
    this->prepared.erase(found);
    return true;
}

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
