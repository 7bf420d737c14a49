#pragma once

#include <cstdint>

namespace lentiljunction {

/// The boundary that an exception of a handler does not pass: it concerns one connection, one statement or one task, not the
/// process. Each is written to the log as event 121, handler_failed, and counted.
///
/// Broken invariants are no exceptions; they still end the process.
///
/// @code
/// if (!HandlerGuard::run("session", [&] { this->handle(bytes); }))
///     this->close();
/// @endcode
/// @see checkInvariant
class HandlerGuard {
public:
    /// Runs a handler. Safe to call from any thread.
    ///
    /// @param place what the handler belongs to, for the log
    /// @returns whether it returned without an exception
    template <typename Handler>
    static bool run(const char* place, Handler&& handler)
    {
        try {
            handler();
            return true;
        } catch (...) {
            HandlerGuard::report(place);
            return false;
        }
    }

    /// @returns handlers that threw since the start
    static std::uint64_t getNumFailures() noexcept;

private:
    /// Call it while the exception is handled.
    static void report(const char* place) noexcept;
};

} // namespace lentiljunction
