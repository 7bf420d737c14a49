#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lentiljunction {

/// Reads the fields of a JSON object and collects all errors instead of stopping at the first.
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
    /// @param object the value to read; an error is added when it is not an object
    /// @param path the position of the object in the document, for error messages
    /// @param faults receives a sentence for each error; must outlive this object
    JsonFields(const nlohmann::json& object, std::string path, std::vector<std::string>& faults);

    /// @returns the text of a required field; empty after an error
    std::string getText(const std::string& name);

    /// @returns the text of an optional field
    std::optional<std::string> findText(const std::string& name);

    /// @returns the number of a required field from `low` to `high`; `low` after an error
    std::int64_t getInteger(const std::string& name, std::int64_t low, std::int64_t high);

    /// @returns the number of an optional field from `low` to `high`
    std::optional<std::int64_t> findInteger(const std::string& name, std::int64_t low, std::int64_t high);

    /// @returns the value of a required field of any type; null after an error
    const nlohmann::json& getValue(const std::string& name);

    /// @returns the value of an optional field, or nullptr
    const nlohmann::json* findValue(const std::string& name);

    /// @returns the texts of a required array of strings; empty after an error
    std::vector<std::string> getTexts(const std::string& name);

    /// Adds an error for each field that no other function has read.
    void rejectUnknownFields();

    /// Adds an error about a field.
    void addFault(const std::string& name, const std::string& message);

    /// @returns the path of a field, for error messages
    std::string pathOf(const std::string& name) const;

private:
    const nlohmann::json& object;
    std::string path;
    std::vector<std::string>& faults;
    std::set<std::string> requestedFields;
};

/// @returns the sentences joined by "; "
std::string joinFaults(const std::vector<std::string>& faults);

} // namespace lentiljunction
