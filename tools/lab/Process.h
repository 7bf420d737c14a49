#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace lentiljunction::lab {

/// A child process of the tool. Killed when the object goes.
class Process {
public:
    /// @param program the path of the program
    /// @param arguments its arguments
    /// @param logPath receives its output
    Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& logPath);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    /// Sends a signal, for example SIGTERM, SIGKILL, SIGSTOP or SIGCONT.
    void signal(int number);

    /// Waits for its end.
    ///
    /// @returns its exit code, or 128 and the signal's number
    int wait();

    /// @returns whether it has not ended
    bool isRunning();

    /// @returns its number
    pid_t getPid() const { return this->pid; }

private:
    pid_t pid;
    bool isReaped = false;
    int exitCode = 0;
};

} // namespace lentiljunction::lab
