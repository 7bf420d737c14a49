#pragma once

#include <string>

namespace lentiljunction {

/// Why a process ends.
enum class EndCause {
    Stopped,
    Settings,
    Port,
    Failure,
    Signal,
    Exception,
    Memory,
    Invariant,
};

/// Writes the last line of a process to its log: event 120, process_ended, with the cause.
///
/// Covers returns from the program, uncaught exceptions, broken invariants and the signals SIGSEGV, SIGBUS, SIGFPE, SIGILL
/// and SIGABRT, after which the signal's default action follows. Other signals keep their actions. SIGKILL leaves no line.
///
/// The line goes to standard output, or to standard error when standard output does not take all of it. Writing never
/// blocks. When several threads fail, only the first cause is reported.
///
/// @see checkInvariant, startThread
class ProcessEnd {
public:
    /// Installs the handlers. Call it in the main thread before any other thread starts. A signal whose action is not the
    /// default one keeps its action.
    static void install();

    /// @param instance the instance's id, written in the line
    static void setInstance(const std::string& instance);

    /// Reports an end by a return from the program. Does nothing unless install() was called.
    ///
    /// @param reason the last reason, empty for a planned stop
    static void reportExit(EndCause cause, int exitCode, const std::string& reason);

    /// Reports a broken invariant and ends the process by SIGABRT. Safe to call from any thread.
    [[noreturn]] static void abortOnInvariant(const char* text, const char* file, int line);
};

/// Ends the process when an invariant does not hold, in every kind of build. Conditions that others can cause are not
/// invariants: handle them instead.
///
/// @param text what must hold, in a few words
inline void checkInvariant(bool isHeld, const char* text, const char* file = __builtin_FILE(), int line = __builtin_LINE())
{
    if (!isHeld)
        ProcessEnd::abortOnInvariant(text, file, line);
}

} // namespace lentiljunction
