#include "IniDocument.h"

#include <ini.h>

namespace lentiljunction {

namespace {

    int appendEntry(void* user, const char* section, const char* key, const char* value)
    {
        std::vector<IniDocument::Entry>* entries = static_cast<std::vector<IniDocument::Entry>*>(user);
        entries->push_back({ section, key, value });
        return 1;
    }

} // namespace

int IniDocument::read(const std::string& path)
{
    this->entries.clear();
    return ini_parse(path.c_str(), appendEntry, &this->entries);
}

std::optional<std::string> IniDocument::find(const std::string& section, const std::string& key) const
{
    for (const Entry& entry : this->entries) {
        if (entry.section == section && entry.key == key)
            return entry.value;
    }
    return std::nullopt;
}

} // namespace lentiljunction
