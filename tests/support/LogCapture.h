#pragma once

#include <memory>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>
#include <sstream>
#include <string>
#include <vector>

namespace lentiljunction::tests {

/// Collects the log lines of the process while it exists.
class LogCapture {
public:
    LogCapture()
        : previous(spdlog::default_logger())
    {
        std::shared_ptr<spdlog::logger> logger = std::make_shared<spdlog::logger>("capture", std::make_shared<spdlog::sinks::ostream_sink_mt>(this->stream));
        logger->set_pattern("%v");
        spdlog::set_default_logger(logger);
    }

    ~LogCapture() { spdlog::set_default_logger(this->previous); }
    LogCapture(const LogCapture&) = delete;
    LogCapture& operator=(const LogCapture&) = delete;

    /// @returns the lines of an event, in order
    std::vector<std::string> list(const std::string& eventName) const
    {
        std::vector<std::string> found;
        std::istringstream lines(this->stream.str());
        for (std::string line; std::getline(lines, line);) {
            if (line.find(" name=" + eventName + " ") != std::string::npos)
                found.push_back(line);
        }
        return found;
    }

private:
    std::shared_ptr<spdlog::logger> previous;
    std::ostringstream stream;
};

} // namespace lentiljunction::tests
