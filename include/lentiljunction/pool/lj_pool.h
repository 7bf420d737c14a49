#pragma once

/// @file
/// Module pool: the states of a gate's connections, without sockets. Depends on core.

#include "lentiljunction/pool/ConnectionPool.h"
