#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentiljunction {

/// Reads the fields of one JSON object and collects every fault instead of stopping at the first.
///
/// @code
/// std::vector<std::string> faults;
/// JsonFields fields(document, "request", faults);
/// std::string id = fields.getText("id");
/// fields.rejectUnknownFields();
/// @endcode
///
/// Not thread-safe.
class JsonFields {
public:
    /// @param object the object to read; a fault is added when it is none
    /// @param path where the object stands, for messages
    /// @param faults receives one sentence per fault; must outlive this object
    JsonFields(const nlohmann::json& object, std::string path, std::vector<std::string>& faults);

    /// @returns the text of a required field; empty after a fault
    std::string getText(const std::string& name);

    /// @returns the text of an optional field
    std::optional<std::string> findText(const std::string& name);

    /// @returns the number of a required field; `low` after a fault
    std::int64_t getInteger(const std::string& name, std::int64_t low, std::int64_t high);

    /// @returns the number of an optional field
    std::optional<std::int64_t> findInteger(const std::string& name, std::int64_t low, std::int64_t high);

    /// @returns the value of a required field of any type; null after a fault
    const nlohmann::json& getValue(const std::string& name);

    /// @returns the value of an optional field, or nullptr
    const nlohmann::json* findValue(const std::string& name);

    /// @returns the texts of a required array; empty after a fault
    std::vector<std::string> getTexts(const std::string& name);

    /// Adds a fault for each field that was never asked for.
    void rejectUnknownFields();

    /// Adds a fault about one field.
    void addFault(const std::string& name, const std::string& message);

    /// @returns the path of a field, for messages
    std::string pathOf(const std::string& name) const;

private:
    const nlohmann::json& object;
    std::string path;
    std::vector<std::string>& faults;
    std::set<std::string> known;
};

/// @returns the sentences joined by "; "
std::string joinFaults(const std::vector<std::string>& faults);

} // namespace lentiljunction
