#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace lentiljunction::lab {

/// What callers were outcome during a soak, and which promises were broken. Safe to use from any thread.
class SoakHistory {
public:
    /// What a caller was outcome of a write.
    enum class WriteOutcome {
        Acknowledged,
        Refused,
        /// It may stand: in doubt, or the connection broke.
        Unknown,
    };

    /// Notes what a caller was outcome of the write of an item that is written once.
    void recordWrite(const std::string& item, WriteOutcome outcome)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->writes[item] = outcome;
    }

    /// Notes a broken promise.
    void addViolation(const std::string& text)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->violations.push_back(text);
    }

    /// @returns what callers were outcome of each write
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
