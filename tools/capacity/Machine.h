#pragma once

#include <sys/types.h>

namespace lentiljunction::capacity {

/// @returns the processor time that a process used so far, in seconds
double getProcessorSeconds(pid_t process);

/// @returns the memory that a process holds, in bytes
double getResidentBytes(pid_t process);

/// @returns the processor time of the calling thread, in seconds
double getThreadProcessorSeconds();

/// @returns the bytes sent over loopback so far, packet headers included
double getLoopbackBytes();

/// @returns the memory this process has allocated and not given back, in bytes
double getHeapBytes();

} // namespace lentiljunction::capacity
