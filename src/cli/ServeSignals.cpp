#include "ServeSignals.h"

#include <cstring>
#include <ctime>

namespace lentiljunction {

namespace {

    sigset_t makeServeSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        sigaddset(&signals, SIGHUP);
        return signals;
    }

    /// Runs before any constructor, also before those of sanitizers, so it calls nothing but the system's C library. The
    /// other commands keep the default reaction to signals.
    __attribute__((no_sanitize("address", "undefined", "thread"))) void blockServeSignals(int argc, char** argv, char**)
    {
        if (argc < 2 || std::strcmp(argv[1], "serve") != 0)
            return;
        sigset_t signals = makeServeSignals();
        sigprocmask(SIG_BLOCK, &signals, nullptr);
        // Writes to closed connections, and to a log file at the limit on file sizes, fail instead.
        std::signal(SIGPIPE, SIG_IGN);
        std::signal(SIGXFSZ, SIG_IGN);
    }

    using InitialFunction = void (*)(int argc, char** argv, char** environment);
    __attribute__((section(".preinit_array"), used)) const InitialFunction initialFunction = blockServeSignals;

} // namespace

const sigset_t& getServeSignals()
{
    static const sigset_t signals = makeServeSignals();
    return signals;
}

std::optional<int> waitForServeSignal(std::chrono::milliseconds timeout)
{
    timespec interval { 0, static_cast<long>(std::chrono::nanoseconds(timeout).count()) };
    int received = sigtimedwait(&getServeSignals(), nullptr, &interval);
    return received > 0 ? std::optional<int>(received) : std::nullopt;
}

} // namespace lentiljunction
