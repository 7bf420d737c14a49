#pragma once

/// @file
/// Module session: session tokens, term histories and upstream status. Depends on core.

#include "lentiljunction/session/SessionToken.h"
#include "lentiljunction/session/TermHistory.h"
#include "lentiljunction/session/UpstreamStatus.h"
