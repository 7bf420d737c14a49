#pragma once

/// @file
/// Module logbook: parses logs, shows the history of a request, summarizes all instances. Depends on core and interactive.

#include "lentiljunction/logbook/FleetReport.h"
#include "lentiljunction/logbook/GroupHistory.h"
#include "lentiljunction/logbook/LogRecord.h"
#include "lentiljunction/logbook/RequestHistory.h"
