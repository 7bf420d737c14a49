#pragma once

#include <sys/types.h>

namespace lentiljunction::capacity {

/// @returns the processor time of a process since its start, in seconds
double getProcessorSeconds(pid_t process);

/// @returns the resident memory of a process, in bytes
double getResidentBytes(pid_t process);

/// @returns the processor time of the calling thread, in seconds
double getThreadProcessorSeconds();

/// @returns the bytes sent over loopback since the start of the machine, including packet headers
double getLoopbackBytes();

/// @returns the heap memory that this process has allocated and not freed, in bytes
double getHeapBytes();

} // namespace lentiljunction::capacity
