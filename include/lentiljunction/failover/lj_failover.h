#pragma once

/// @file
/// Module failover: monitoring of groups, promotions and terms. Depends on bundle, session and nlohmann-json.

#include "lentiljunction/failover/GroupMonitor.h"
#include "lentiljunction/failover/Promotion.h"
#include "lentiljunction/failover/TermReserve.h"
