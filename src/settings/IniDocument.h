#pragma once

#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// The entries of an INI file, in file order.
///
/// @see loadSettings
class IniDocument {
public:
    /// One key with its section and value.
    struct Entry {
        std::string section;
        std::string key;
        std::string value;
    };

    /// Reads a file.
    ///
    /// @param path the file
    /// @returns 0, the number of the first malformed line, or a negative number when the file cannot be opened
    int read(const std::string& path);

    /// @returns the value of a key, or nothing when the file does not have it
    std::optional<std::string> find(const std::string& section, const std::string& key) const;

    /// @returns all entries, including duplicate keys
    const std::vector<Entry>& getEntries() const { return this->entries; }

private:
    std::vector<Entry> entries;
};

} // namespace lentiljunction
