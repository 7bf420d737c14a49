#pragma once

/// @file
/// Module pool: the connections of a gate, without sockets. Depends on core.

#include "lentiljunction/pool/ConnectionPool.h"
