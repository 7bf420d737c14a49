#pragma once

/// @file
/// Module routes: the routes of databases and the list of upstreams. Depends on core and settings.

#include "lentiljunction/routes/ActiveRoutes.h"
#include "lentiljunction/routes/RouteTable.h"
#include "lentiljunction/routes/UpstreamEntry.h"
#include "lentiljunction/routes/UpstreamRegistry.h"
