#include "Process.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <spawn.h>
#include <sstream>
#include <sys/resource.h>
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

double Process::getProcessorSeconds() const
{
    std::ifstream stat("/proc/" + std::to_string(this->pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), std::istreambuf_iterator<char>());
    // User and system time are the 12th and 13th field after the process name, which is in parentheses.
    constexpr int fieldsBeforeUserTime = 11;
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int index = 0; index < fieldsBeforeUserTime; index++)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

std::size_t Process::getPeakMemoryKibibytes() const
{
    const std::string label = "VmHWM:";
    std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind(label, 0) == 0)
            return std::stoull(line.substr(label.size()));
    }
    return 0;
}

int Process::countDescriptors() const
{
    std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(this->pid) + "/fd");
    return static_cast<int>(std::distance(begin(descriptors), end(descriptors)));
}

double Process::getPeakMemory() const
{
    constexpr double kibibytesPerMebibyte = 1024;
    std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmHWM:", 0) == 0)
            return std::stod(line.substr(line.find(':') + 1)) / kibibytesPerMebibyte;
    }
    return 0;
}

int Process::limitDescriptors(int limit)
{
    rlimit before {};
    ::prlimit(this->pid, RLIMIT_NOFILE, nullptr, &before);
    rlimit changed { static_cast<rlim_t>(limit), before.rlim_max };
    ::prlimit(this->pid, RLIMIT_NOFILE, &changed, nullptr);
    return static_cast<int>(before.rlim_cur);
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
