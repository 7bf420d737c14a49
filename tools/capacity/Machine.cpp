#include "Machine.h"

#include <ctime>
#include <fstream>
#include <malloc.h>
#include <sstream>
#include <string>
#include <unistd.h>

namespace lentiljunction::capacity {

double getProcessorSeconds(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string text;
    std::getline(file, text);
    // The process name, in parentheses, may contain spaces. User and system time are the 12th and 13th field
    // after it.
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string field;
    double ticks = 0;
    for (int index = 0; index < 13 && fields >> field; index++) {
        if (index >= 11)
            ticks += std::stod(field);
    }
    return ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double getResidentBytes(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
}

double getThreadProcessorSeconds()
{
    timespec time {};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

double getLoopbackBytes()
{
    constexpr int sentField = 8;
    std::ifstream file("/proc/net/dev");
    std::string line;
    while (std::getline(file, line)) {
        std::size_t colon = line.find("lo:");
        if (colon == std::string::npos)
            continue;
        std::istringstream fields(line.substr(colon + 3));
        double value = 0;
        for (int index = 0; index <= sentField; index++)
            fields >> value;
        return value;
    }
    return 0;
}

double getHeapBytes()
{
    struct mallinfo2 information = ::mallinfo2();
    return static_cast<double>(information.uordblks) + static_cast<double>(information.hblkhd);
}

} // namespace lentiljunction::capacity
