#pragma once

/// @file
/// Module routing: gates, the order of reads, and retries. Depends on bundle, membership and admission.

#include "lentiljunction/routing/AttemptPolicy.h"
#include "lentiljunction/routing/CatchUpEstimate.h"
#include "lentiljunction/routing/GateMap.h"
#include "lentiljunction/routing/ReadRouter.h"
