#include "StandardDescriptors.h"

#include <fcntl.h>
#include <unistd.h>

namespace lentiljunction {

void openStandardDescriptors()
{
    // The system gives each new descriptor the lowest free number.
    int opened = ::open("/dev/null", O_RDWR);
    while (opened >= 0 && opened <= STDERR_FILENO)
        opened = ::open("/dev/null", O_RDWR);
    if (opened >= 0)
        ::close(opened);
}

} // namespace lentiljunction
