#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace lentiljunction::lab {

/// The outcomes of all writes of a soak test and the violations that were found. Thread-safe.
class SoakHistory {
public:
    /// The outcome of a write as its caller saw it.
    enum class WriteOutcome {
        Acknowledged,
        Refused,
        /// The write may have taken effect: the response was in doubt or the connection broke.
        Unknown,
    };

    /// Records the outcome of the write of an item. Each item is written once.
    void recordWrite(const std::string& item, WriteOutcome outcome)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->writes[item] = outcome;
    }

    /// Records a broken guarantee.
    ///
    /// @param text category, colon, and what was observed
    void addViolation(const std::string& text)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->violations.push_back(text);
    }

    /// @returns the outcome of each write, by item
    std::map<std::string, WriteOutcome> getWrites()
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        return this->writes;
    }

    std::vector<std::string> getViolations()
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        return this->violations;
    }

private:
    std::mutex mutex;
    std::map<std::string, WriteOutcome> writes;
    std::vector<std::string> violations;
};

} // namespace lentiljunction::lab
