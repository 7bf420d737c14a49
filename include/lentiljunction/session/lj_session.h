#pragma once

/// @file
/// Module session: session tokens, histories of terms and the status of upstreams. Depends on core.

#include "lentiljunction/session/SessionToken.h"
#include "lentiljunction/session/TermHistory.h"
#include "lentiljunction/session/UpstreamStatus.h"
