#pragma once

#include <cstdint>
#include <mutex>
#include <spdlog/sinks/base_sink.h>
#include <string>

namespace lentiljunction {

/// Writes log lines to a file descriptor without blocking when its reader is slow.
///
/// When the descriptor's buffer is full, lines are dropped; their number is logged as soon as writing
/// is possible again. A partly written line is completed first, so lines never interleave.
///
/// Safe to call from any thread.
class NonBlockingSink : public spdlog::sinks::base_sink<std::mutex> {
public:
    /// @param descriptor is switched to non-blocking mode
    explicit NonBlockingSink(int descriptor);

    /// @returns whether the last write of any sink ended within a line. Signal handlers may call it.
    static bool isWithinLine();

protected:
    void sink_it_(const spdlog::details::log_msg& message) override; // NOLINT(readability-identifier-naming): named by spdlog
    void flush_() override { } // NOLINT(readability-identifier-naming): named by spdlog

private:
    bool flushPending();

    int descriptor;
    /// The rest of a partly written line.
    std::string pending;
    std::uint64_t numOmitted = 0;
};

} // namespace lentiljunction
