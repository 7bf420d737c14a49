#pragma once

/// @file
/// Module logbook: reads logs back, explains a request, sums up a fleet. Depends on core and interactive.

#include "lentiljunction/logbook/FleetReport.h"
#include "lentiljunction/logbook/LogRecord.h"
#include "lentiljunction/logbook/RequestHistory.h"
