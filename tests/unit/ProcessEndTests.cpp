#include "../../src/core/FixedText.h"
#include "lentiljunction/core/ProcessEnd.h"
#include "lentiljunction/core/Threads.h"
#include "lentiljunction/pool/ConnectionPool.h"

#include <csignal>
#include <fcntl.h>
#include <functional>
#include <limits>
#include <new>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace lentiljunction;

namespace {

struct ChildResult {
    std::string output;
    std::string errors;
    int status = 0;
};

std::string readToEnd(int descriptor)
{
    std::string text;
    char bytes[4096];
    for (ssize_t size = ::read(descriptor, bytes, sizeof bytes); size > 0; size = ::read(descriptor, bytes, sizeof bytes))
        text.append(bytes, static_cast<std::size_t>(size));
    ::close(descriptor);
    return text;
}

/// Runs a body in a child process in which the handlers are installed.
ChildResult runInChild(const std::function<void()>& body)
{
    int output[2];
    int errors[2];
    CHECK_EQUAL(0, ::pipe(output));
    CHECK_EQUAL(0, ::pipe(errors));
    pid_t child = ::fork();
    if (child == 0) {
        ::dup2(output[1], STDOUT_FILENO);
        ::dup2(errors[1], STDERR_FILENO);
        for (int descriptor : { output[0], output[1], errors[0], errors[1] })
            ::close(descriptor);
        ProcessEnd::install();
        ProcessEnd::setInstance("front-1");
        body();
        ::_exit(0);
    }
    ::close(output[1]);
    ::close(errors[1]);
    ChildResult result;
    result.output = readToEnd(output[0]);
    result.errors = readToEnd(errors[0]);
    ::waitpid(child, &result.status, 0);
    return result;
}

volatile int depth = 0;

/// Recurses until the stack is exhausted.
int recurse(int value) // NOLINT(misc-no-recursion)
{
    volatile char frame[4096];
    frame[0] = static_cast<char>(value);
    depth = depth + 1;
    if (depth < 0)
        return 0;
    return recurse(depth) + frame[0];
}

void checkSignal(const ChildResult& result, int signal)
{
    CHECK_TRUE(WIFSIGNALED(result.status));
    LONGS_EQUAL(signal, WTERMSIG(result.status));
    // One line, complete.
    CHECK_FALSE(result.output.empty());
    LONGS_EQUAL(result.output.size() - 1, result.output.find('\n'));
    STRCMP_CONTAINS(" instance=front-1 event=120 name=process_ended cause=", result.output.c_str());
}

} // namespace

TEST_GROUP(ProcessEnd) {};

// A process that ended by a signal, an exception or a broken invariant left no line in its log.
TEST(ProcessEnd, reportsEachFatalSignalAndKeepsItAsExitStatus)
{
    for (int signal : { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT }) {
        ChildResult result = runInChild([signal] { ::raise(signal); });
        checkSignal(result, signal);
        STRCMP_CONTAINS("cause=signal thread=main uptime_ms=", result.output.c_str());
        STRCMP_CONTAINS((" signal=" + std::to_string(signal) + " sender=").c_str(), result.output.c_str());
    }
}

TEST(ProcessEnd, reportsExhaustedStackOfStartedThread)
{
    ChildResult result = runInChild([] { startThread("worker-7", [] { recurse(1); }).join(); });
    checkSignal(result, SIGSEGV);
    STRCMP_CONTAINS("cause=signal thread=worker-7 ", result.output.c_str());
    STRCMP_CONTAINS(" address=0x", result.output.c_str());
    STRCMP_CONTAINS(" program_offset=0x", result.output.c_str());
}

TEST(ProcessEnd, reportsUncaughtExceptionOfThreadWithTypeAndText)
{
    ChildResult result = runInChild([] { startThread("worker", [] { throw std::runtime_error("a \"bad\"\nthing"); }).join(); });
    checkSignal(result, SIGABRT);
    STRCMP_CONTAINS("cause=exception thread=worker ", result.output.c_str());
    STRCMP_CONTAINS(" what=\"a 'bad' thing\" type=St13runtime_error", result.output.c_str());
}

TEST(ProcessEnd, reportsFailedAllocationAsMemory)
{
    ChildResult result = runInChild([] { startThread("worker", [] { throw std::bad_alloc(); }).join(); });
    checkSignal(result, SIGABRT);
    STRCMP_CONTAINS("cause=memory thread=worker ", result.output.c_str());
}

TEST(ProcessEnd, reportsBrokenInvariantWithPlace)
{
    ChildResult result = runInChild([] { checkInvariant(depth == 1, "the depth is one"); });
    checkSignal(result, SIGABRT);
    STRCMP_CONTAINS(" invariant=\"the depth is one\" file=ProcessEndTests.cpp line=", result.output.c_str());
}

// Assertions were off in the build of the deployment, so a connection that was released twice was shared instead.
TEST(ProcessEnd, reportsConnectionThatIsReleasedTwice)
{
    ChildResult result = runInChild([] {
        ConnectionPool pool(1, 1);
        TimePoint now;
        ConnectionPool::Handle handle = pool.takeConnectionsToOpen(now).front();
        pool.onOpened(handle, now);
        pool.acquire(now);
        pool.release(handle, ConnectionPool::Condition::Clean, now);
        pool.release(handle, ConnectionPool::Condition::Clean, now);
    });
    checkSignal(result, SIGABRT);
    STRCMP_CONTAINS(" cause=invariant ", result.output.c_str());
}

// A reader of the log that had stalled kept a process from ending, or hid why it ended.
TEST(ProcessEnd, reportsToStandardErrorWhenStandardOutputIsBlockedOrClosed)
{
    ChildResult blocked = runInChild([] {
        int ends[2];
        if (::pipe(ends) == 0 && ::dup2(ends[1], STDOUT_FILENO) >= 0) {
            ::fcntl(ends[1], F_SETFL, O_NONBLOCK);
            std::string filler(65536, 'x');
            while (::write(STDOUT_FILENO, filler.data(), filler.size()) > 0) { }
            ::fcntl(ends[1], F_SETFL, 0);
        }
        ProcessEnd::reportExit(EndCause::Port, 4, "it is in use");
    });
    STRCMP_CONTAINS("cause=port ", blocked.errors.c_str());
    STRCMP_CONTAINS(" exit_code=4 reason=\"it is in use\"\n", blocked.errors.c_str());
    ChildResult closed = runInChild([] {
        ::close(STDOUT_FILENO);
        ::raise(SIGSEGV);
    });
    LONGS_EQUAL(SIGSEGV, WTERMSIG(closed.status));
    STRCMP_CONTAINS(" signal=11 ", closed.errors.c_str());
}

TEST(ProcessEnd, leavesOtherSignalsAndChangedActionsAlone)
{
    ChildResult result = runInChild([] { ::raise(SIGSYS); });
    LONGS_EQUAL(SIGSYS, WTERMSIG(result.status));
    STRCMP_EQUAL("", (result.output + result.errors).c_str());
}

TEST_GROUP(FixedText) {};

TEST(FixedText, formatsTimesAndNumbers)
{
    FixedText text;
    text.appendTime(1709164799, 42).append(' ').appendTime(1709164800, 0).append(' ').appendNumber(0).append(' ');
    text.appendNumber(std::numeric_limits<std::uint64_t>::max()).append(' ').appendHexadecimal(0).append(' ').appendHexadecimal(0xdeadbeef);
    STRCMP_EQUAL("2024-02-28T23:59:59.000042Z 2024-02-29T00:00:00.000000Z 0 18446744073709551615 0x0 0xdeadbeef", text.getData());
}

TEST(FixedText, cutsOffLongTextWithinQuotes)
{
    FixedText text;
    text.appendQuoted(std::string(5000, 'x').c_str());
    LONGS_EQUAL(1202, text.getSize());
    for (int count = 0; count < 3000; count++)
        text.append('y');
    LONGS_EQUAL(2048, text.getSize());
}
