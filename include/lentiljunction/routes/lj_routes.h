#pragma once

/// @file
/// Module routes: routes of databases and the upstreams behind them. Depends on core and settings.

#include "lentiljunction/routes/ActiveRoutes.h"
#include "lentiljunction/routes/RouteTable.h"
#include "lentiljunction/routes/UpstreamEntry.h"
#include "lentiljunction/routes/UpstreamRegistry.h"
