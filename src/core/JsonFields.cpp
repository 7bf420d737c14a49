#include "lentiljunction/core/JsonFields.h"

#include <utility>

namespace lentiljunction {

namespace {

    const nlohmann::json nullValue;

} // namespace

JsonFields::JsonFields(const nlohmann::json& object, std::string path, std::vector<std::string>& faults)
    : object(object)
    , path(std::move(path))
    , faults(faults)
{
    if (!this->object.is_object())
        this->faults.push_back(this->path + " must be an object");
}

std::string JsonFields::getText(const std::string& name)
{
    std::optional<std::string> text = this->findText(name);
    if (text)
        return *text;

    if (this->findValue(name) == nullptr)
        this->addFault(name, "is missing");
    return {};
}

std::optional<std::string> JsonFields::findText(const std::string& name)
{
    const nlohmann::json* value = this->findValue(name);
    if (value == nullptr)
        return std::nullopt;

    if (!value->is_string()) {
        this->addFault(name, "must be a string");
        return std::nullopt;
    }
    return value->get<std::string>();
}

std::int64_t JsonFields::getInteger(const std::string& name, std::int64_t low, std::int64_t high)
{
    std::optional<std::int64_t> number = this->findInteger(name, low, high);
    if (number)
        return *number;

    if (this->findValue(name) == nullptr)
        this->addFault(name, "is missing");
    return low;
}

std::optional<std::int64_t> JsonFields::findInteger(const std::string& name, std::int64_t low, std::int64_t high)
{
    const nlohmann::json* value = this->findValue(name);
    if (value == nullptr)
        return std::nullopt;

    std::string allowed = "must be a whole number from " + std::to_string(low) + " to " + std::to_string(high);
    if (!value->is_number_integer()) {
        this->addFault(name, allowed);
        return std::nullopt;
    }

    bool isTooLarge = value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(high);
    if (isTooLarge || value->get<std::int64_t>() < low || value->get<std::int64_t>() > high) {
        this->addFault(name, allowed);
        return std::nullopt;
    }
    return value->get<std::int64_t>();
}

const nlohmann::json& JsonFields::getValue(const std::string& name)
{
    const nlohmann::json* value = this->findValue(name);
    if (value != nullptr)
        return *value;

    this->addFault(name, "is missing");
    return nullValue;
}

const nlohmann::json* JsonFields::findValue(const std::string& name)
{
    this->requestedFields.insert(name);
    if (!this->object.is_object())
        return nullptr;

    nlohmann::json::const_iterator found = this->object.find(name);
    if (found == this->object.end())
        return nullptr;
    return &*found;
}

std::vector<std::string> JsonFields::getTexts(const std::string& name)
{
    const nlohmann::json& value = this->getValue(name);
    if (value.is_null())
        return {};

    if (!value.is_array()) {
        this->addFault(name, "must be an array of strings");
        return {};
    }

    std::vector<std::string> texts;
    for (const nlohmann::json& element : value) {
        if (!element.is_string()) {
            this->addFault(name, "must be an array of strings");
            return {};
        }
        texts.push_back(element.get<std::string>());
    }
    return texts;
}

void JsonFields::rejectUnknownFields()
{
    if (!this->object.is_object())
        return;

    for (nlohmann::json::const_iterator field = this->object.begin(); field != this->object.end(); ++field) {
        if (this->requestedFields.count(field.key()) == 0)
            this->addFault(field.key(), "is not a known field");
    }
}

void JsonFields::addFault(const std::string& name, const std::string& message)
{
    this->faults.push_back(this->pathOf(name) + " " + message);
}

std::string JsonFields::pathOf(const std::string& name) const
{
    return this->path + "." + name;
}

std::string joinFaults(const std::vector<std::string>& faults)
{
    std::string joined;
    for (const std::string& fault : faults) {
        if (!joined.empty())
            joined += "; ";
        joined += fault;
    }
    return joined;
}

} // namespace lentiljunction
