#pragma once

/// @file
/// Module fleet: what the instances share through the store. Depends on core, routes and leadership.

#include "lentiljunction/fleet/FleetStore.h"
#include "lentiljunction/fleet/RelayedList.h"
#include "lentiljunction/fleet/RevisionHistory.h"
#include "lentiljunction/fleet/Voters.h"
#include "lentiljunction/fleet/ZoneReader.h"
