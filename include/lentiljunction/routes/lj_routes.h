#pragma once

/// @file
/// Module routes: the routes of databases and the list of upstreams. Depends on core, settings and workspaces.

#include "lentiljunction/routes/ActiveRoutes.h"
#include "lentiljunction/routes/KeyFreshnessTracker.h"
#include "lentiljunction/routes/RouteConfirmation.h"
#include "lentiljunction/routes/RouteProof.h"
#include "lentiljunction/routes/RouteTable.h"
#include "lentiljunction/routes/SessionRoute.h"
#include "lentiljunction/routes/UpstreamEntry.h"
#include "lentiljunction/routes/UpstreamRegistry.h"
