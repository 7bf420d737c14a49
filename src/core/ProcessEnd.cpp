#include "lentiljunction/core/ProcessEnd.h"

#include "FixedText.h"
#include "NonBlockingSink.h"
#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/core/Threads.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstring>
#include <cxxabi.h>
#include <exception>
#include <fcntl.h>
#include <new>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/syscall.h>
#include <time.h>
#include <typeinfo>
#include <ucontext.h>
#include <unistd.h>

/// Where the program begins in memory; defined by the linker.
extern "C" const char __executable_start; // NOLINT(bugprone-reserved-identifier,readability-identifier-naming): named by the linker
extern "C" const char etext; // NOLINT(readability-identifier-naming): named by the linker

namespace lentiljunction {

namespace {

    constexpr std::array<int, 5> fatalSignals { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT };
    constexpr std::size_t maximumInstanceSize = 64;
    constexpr std::size_t maximumThreadNameSize = 16;
    constexpr rlim_t maximumDescriptorsCounted = 65536;
    constexpr std::uint64_t millisecondsPerSecond = 1000;
    constexpr std::uint64_t nanosecondsPerMillisecond = 1000000;
    constexpr std::uint64_t nanosecondsPerMicrosecond = 1000;
    /// A thread that fails while another one writes its line waits this long, so that the line is not cut off.
    constexpr int maximumWaits = 20;
    constexpr timespec waitInterval { 0, 10 * static_cast<long>(nanosecondsPerMillisecond) };

    std::array<char, maximumInstanceSize> instanceName { '-' };
    std::atomic<bool> isInstalled { false };
    std::uint64_t startMilliseconds = 0;
    std::atomic<pid_t> reportingThread { 0 };
    std::atomic<bool> isReported { false };

    pid_t getThreadId()
    {
        return static_cast<pid_t>(::syscall(SYS_gettid));
    }

    std::uint64_t getUptimeClock()
    {
        timespec now {};
        ::clock_gettime(CLOCK_MONOTONIC, &now);
        return static_cast<std::uint64_t>(now.tv_sec) * millisecondsPerSecond + static_cast<std::uint64_t>(now.tv_nsec) / nanosecondsPerMillisecond;
    }

    const char* toString(EndCause cause)
    {
        switch (cause) {
        case EndCause::Stopped:
            return "stopped";
        case EndCause::Settings:
            return "settings";
        case EndCause::Port:
            return "port";
        case EndCause::Failure:
            return "failure";
        case EndCause::Signal:
            return "signal";
        case EndCause::Exception:
            return "exception";
        case EndCause::Memory:
            return "memory";
        case EndCause::Invariant:
            return "invariant";
        }
        return "unknown";
    }

    /// Needs no free descriptor, unlike reading a folder of the system.
    std::uint64_t countDescriptors()
    {
        rlimit limit {};
        ::getrlimit(RLIMIT_NOFILE, &limit);
        rlim_t end = std::min(limit.rlim_cur, maximumDescriptorsCounted);
        std::uint64_t count = 0;
        for (rlim_t descriptor = 0; descriptor < end; descriptor++)
            count += ::fcntl(static_cast<int>(descriptor), F_GETFD) >= 0 ? 1 : 0;
        return count;
    }

    /// @returns whether this thread reports the end. Returns false once another one has reported it.
    bool tryBecomeReporter()
    {
        pid_t none = 0;
        pid_t self = getThreadId();
        if (reportingThread.compare_exchange_strong(none, self))
            return true;
        for (int count = 0; none != self && !isReported && count < maximumWaits; count++)
            ::nanosleep(&waitInterval, nullptr);
        return false;
    }

    /// Begins the line like those of the log, and adds the fields that all causes have.
    void beginLine(FixedText& line, EndCause cause)
    {
        timespec now {};
        ::clock_gettime(CLOCK_REALTIME, &now);
        line.appendTime(static_cast<std::uint64_t>(now.tv_sec), static_cast<std::uint64_t>(now.tv_nsec) / nanosecondsPerMicrosecond);
        line.append(cause == EndCause::Stopped ? " level=info" : " level=error").append(" instance=").append(instanceName.data());
        line.append(" event=").appendNumber(static_cast<std::uint64_t>(events::processEnded.number)).append(" name=").append(events::processEnded.name);

        std::array<char, maximumThreadNameSize + 1> thread {};
        ::prctl(PR_GET_NAME, thread.data());
        bool isMainThread = getThreadId() == ::getpid();
        rusage usage {};
        ::getrusage(RUSAGE_SELF, &usage);
        line.append(" cause=").append(toString(cause)).append(" thread=").append(isMainThread ? "main" : thread.data());
        line.append(" uptime_ms=").appendNumber(getUptimeClock() - startMilliseconds);
        line.append(" peak_kb=").appendNumber(static_cast<std::uint64_t>(usage.ru_maxrss));
        line.append(" descriptors=").appendNumber(countDescriptors());
    }

    /// Writes only when the descriptor can take data: it may be in blocking mode, and its reader may be slow or gone.
    bool writeWithoutBlocking(int descriptor, const FixedText& line)
    {
        pollfd state { descriptor, POLLOUT, 0 };
        if (::poll(&state, 1, 0) != 1 || state.revents != POLLOUT)
            return false;
        return ::write(descriptor, line.getData(), line.getSize()) == static_cast<ssize_t>(line.getSize());
    }

    void writeLine(FixedText& line)
    {
        line.append('\n');
        FixedText separator;
        separator.append('\n');
        bool isSeparated = !NonBlockingSink::isWithinLine() || writeWithoutBlocking(STDOUT_FILENO, separator);
        if (!isSeparated || !writeWithoutBlocking(STDOUT_FILENO, line))
            writeWithoutBlocking(STDERR_FILENO, line);
        isReported = true;
    }

    std::uintptr_t getProgramCounter(const ucontext_t& context)
    {
#if defined(__aarch64__)
        return static_cast<std::uintptr_t>(context.uc_mcontext.pc);
#elif defined(__x86_64__)
        return static_cast<std::uintptr_t>(context.uc_mcontext.gregs[REG_RIP]);
#else
        static_cast<void>(context);
        return 0;
#endif
    }

    void appendOrigin(FixedText& line, const siginfo_t& information, const ucontext_t& context)
    {
        if (information.si_code <= 0) {
            line.append(" sender=").appendNumber(static_cast<std::uint64_t>(information.si_pid));
            return;
        }
        line.append(" address=").appendHexadecimal(reinterpret_cast<std::uintptr_t>(information.si_addr));
        std::uintptr_t begin = reinterpret_cast<std::uintptr_t>(&__executable_start);
        std::uintptr_t counter = getProgramCounter(context);
        if (counter >= begin && counter < reinterpret_cast<std::uintptr_t>(&etext))
            line.append(" program_offset=").appendHexadecimal(counter - begin);
    }

    /// Calls only functions that are safe in a signal handler.
    void onFatalSignal(int signal, siginfo_t* information, void* context)
    {
        if (tryBecomeReporter()) {
            FixedText line;
            beginLine(line, EndCause::Signal);
            line.append(" signal=").appendNumber(static_cast<std::uint64_t>(signal));
            appendOrigin(line, *information, *static_cast<ucontext_t*>(context));
            writeLine(line);
        }
        // The signal is blocked here; it ends the process once the handler returns.
        struct sigaction action { };
        action.sa_handler = SIG_DFL;
        ::sigaction(signal, &action, nullptr);
        ::raise(signal);
    }

    void reportException()
    {
        FixedText line;
        const std::type_info* type = abi::__cxa_current_exception_type();
        try {
            std::exception_ptr exception = std::current_exception();
            if (exception)
                std::rethrow_exception(exception);
            beginLine(line, EndCause::Exception);
        } catch (const std::bad_alloc& error) {
            beginLine(line, EndCause::Memory);
            line.append(" what=").appendQuoted(error.what());
        } catch (const std::exception& error) {
            beginLine(line, EndCause::Exception);
            line.append(" what=").appendQuoted(error.what());
        } catch (...) {
            beginLine(line, EndCause::Exception);
        }
        line.append(" type=").append(type != nullptr ? type->name() : "none");
        writeLine(line);
    }

    const char* getFileName(const char* path)
    {
        const char* slash = std::strrchr(path, '/');
        return slash == nullptr ? path : slash + 1;
    }

    [[noreturn]] void onTerminate()
    {
        if (tryBecomeReporter())
            reportException();
        std::abort();
    }

} // namespace

void ProcessEnd::install()
{
    static SignalStack stackOfMainThread;
    startMilliseconds = getUptimeClock();
    std::set_terminate(onTerminate);
    for (int signal : fatalSignals) {
        struct sigaction present { };
        if (::sigaction(signal, nullptr, &present) != 0 || (present.sa_flags & SA_SIGINFO) != 0 || present.sa_handler != SIG_DFL)
            continue;
        struct sigaction action { };
        action.sa_sigaction = onFatalSignal;
        action.sa_flags = SA_SIGINFO | SA_ONSTACK;
        // Other signals stay deliverable: tools that answer system calls by signals would otherwise end the process here.
        sigemptyset(&action.sa_mask);
        for (int blocked : fatalSignals)
            sigaddset(&action.sa_mask, blocked);
        ::sigaction(signal, &action, nullptr);
    }
    isInstalled = true;
}

void ProcessEnd::setInstance(const std::string& instance)
{
    instanceName.fill('\0');
    instance.copy(instanceName.data(), instanceName.size() - 1);
}

void ProcessEnd::reportExit(EndCause cause, int exitCode, const std::string& reason)
{
    if (!isInstalled || !tryBecomeReporter())
        return;
    FixedText line;
    beginLine(line, cause);
    line.append(" exit_code=").appendNumber(static_cast<std::uint64_t>(exitCode));
    if (!reason.empty())
        line.append(" reason=").appendQuoted(reason.c_str());
    writeLine(line);
    // The destruction of static objects may still fail; that is reported too.
    isReported = false;
    reportingThread = 0;
}

void ProcessEnd::abortOnInvariant(const char* text, const char* file, int line)
{
    if (tryBecomeReporter()) {
        FixedText report;
        beginLine(report, EndCause::Invariant);
        report.append(" invariant=").appendQuoted(text).append(" file=").append(getFileName(file)).append(" line=").appendNumber(static_cast<std::uint64_t>(line));
        writeLine(report);
    }
    std::abort();
}

} // namespace lentiljunction
