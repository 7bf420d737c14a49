#pragma once

/// @file
/// Module caller: callers' requests and responses. Depends on bundle, execution and session.

#include "lentiljunction/caller/Request.h"
#include "lentiljunction/caller/RequestCodec.h"
