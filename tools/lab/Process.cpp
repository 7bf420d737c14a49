#include "Process.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace lentiljunction::lab {

namespace {

    constexpr int signalExitCodeBase = 128;
    constexpr mode_t logFileMode = 0644;

    int toExitCode(int status)
    {
        return WIFEXITED(status) ? WEXITSTATUS(status) : signalExitCodeBase + WTERMSIG(status);
    }

} // namespace

Process::Process(const std::string& program, const std::vector<std::string>& arguments, const std::string& logPath)
    : pid(-1)
{
    std::vector<std::string> owned { program };
    owned.insert(owned.end(), arguments.begin(), arguments.end());
    std::vector<char*> raw;
    for (std::string& argument : owned)
        raw.push_back(argument.data());
    raw.push_back(nullptr);

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logPath.c_str(), O_CREAT | O_WRONLY | O_APPEND, logFileMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A child that inherits a listening socket would keep the port in use after this process closes it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    if (posix_spawn(&this->pid, program.c_str(), &actions, nullptr, raw.data(), environ) != 0)
        this->isReaped = true;
    posix_spawn_file_actions_destroy(&actions);
}

Process::~Process()
{
    if (this->isReaped)
        return;
    ::kill(this->pid, SIGKILL);
    this->wait();
}

void Process::signal(int number)
{
    if (!this->isReaped)
        ::kill(this->pid, number);
}

int Process::wait()
{
    if (this->isReaped)
        return this->exitCode;

    int status = 0;
    ::waitpid(this->pid, &status, 0);
    this->isReaped = true;
    this->exitCode = toExitCode(status);
    return this->exitCode;
}

bool Process::isRunning()
{
    int status = 0;
    if (this->isReaped || ::waitpid(this->pid, &status, WNOHANG) == 0)
        return !this->isReaped;
    this->isReaped = true;
    this->exitCode = toExitCode(status);
    return false;
}

} // namespace lentiljunction::lab
