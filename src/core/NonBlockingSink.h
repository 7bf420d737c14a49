#pragma once

#include <cstdint>
#include <mutex>
#include <spdlog/sinks/base_sink.h>
#include <string>

namespace lentiljunction {

/// Writes log lines to a file descriptor and never waits for its reader.
///
/// A line that finds no room is left out; how many were is written as soon as there is room again. A
/// line that was written in part is completed first, so lines never mix.
///
/// Safe to call from any thread.
class NonBlockingSink : public spdlog::sinks::base_sink<std::mutex> {
public:
    /// @param descriptor is set to not block
    explicit NonBlockingSink(int descriptor);

protected:
    void sink_it_(const spdlog::details::log_msg& message) override; // NOLINT(readability-identifier-naming): named by spdlog
    void flush_() override { } // NOLINT(readability-identifier-naming): named by spdlog

private:
    bool writeWaiting();

    int descriptor;
    /// What is left of a line that was written in part.
    std::string waiting;
    std::uint64_t numOmitted = 0;
};

} // namespace lentiljunction
