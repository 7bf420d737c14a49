#include "IniDocument.h"

#include <ini.h>

namespace lentiljunction {

namespace {

    /// The longest line of a settings file; the library's own limit is 200.
    constexpr int maximumLineBytes = 64 << 10;

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
    ini_use_stack = false;
    ini_allow_realloc = true;
    ini_max_line = maximumLineBytes;
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
