#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace lentiljunction::lab {

/// A child process. The destructor kills it with SIGKILL and waits for it.
class Process {
public:
    /// Starts the process. isRunning() returns false when the start failed.
    ///
    /// @param program path of the executable
    /// @param arguments command-line arguments, without the program name
    /// @param logPath file that standard output and standard error are appended to
    Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& logPath);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /// Sends a signal, for example SIGTERM, SIGKILL, SIGSTOP or SIGCONT.
    void signal(int number);

    /// Blocks until the process has ended.
    ///
    /// @returns the exit code, or 128 plus the signal number when a signal ended it
    int wait();

    /// @returns whether the process has not ended; collects the exit status when it has
    bool isRunning();

    /// @returns the processor time in seconds that the running process has used, of all threads, in user and kernel mode
    double getProcessorSeconds() const;

    /// @returns the most resident memory that the running process has used, in KiB
    std::size_t getPeakMemoryKibibytes() const;

    /// @returns the number of file descriptors that the running process has open
    int countDescriptors() const;

    /// @returns the largest resident memory of the running process so far, in MiB
    double getPeakMemory() const;

    /// Limits the file descriptors of the running process. Those that are open stay open.
    ///
    /// @returns the limit before
    int limitDescriptors(int limit);

    /// @returns the process ID
    pid_t getPid() const { return this->pid; }

private:
    pid_t pid;
    bool isReaped = false;
    int exitCode = 0;
};

} // namespace lentiljunction::lab
