#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using SteadyClock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Writes what was sent, answered and run, each line with the milliseconds since the start.
///
/// Thread-safe.
class Record {
public:
    explicit Record(const std::string& path)
        : file(path)
        , startedAt(SteadyClock::now())
    {
    }

    void write(const std::string& line)
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->file << this->getElapsed() << " ms  " << line << std::endl;
    }

    /// @returns the milliseconds since the start
    std::int64_t getElapsed() const { return std::chrono::duration_cast<Milliseconds>(SteadyClock::now() - this->startedAt).count(); }

private:
    std::mutex mutex;
    std::ofstream file;
    SteadyClock::time_point startedAt;
};

} // namespace review
