#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace lentiljunction::lab {

/// What callers were told during a soak, and which promises were broken. Safe to use from any thread.
class SoakRecord {
public:
    /// What a caller was told of a write.
    enum class Told {
        Acknowledged,
        Refused,
        /// It may stand: in doubt, or the connection broke.
        Unknown,
    };

    /// Notes what a caller was told of the write of an item that is written once.
    void noteWrite(const std::string& item, Told told)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->writes[item] = told;
    }

    /// Notes a broken promise.
    void addViolation(const std::string& text)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->violations.push_back(text);
    }

    /// @returns what callers were told of each write
    std::map<std::string, Told> getWrites()
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
    std::map<std::string, Told> writes;
    std::vector<std::string> violations;
};

} // namespace lentiljunction::lab
