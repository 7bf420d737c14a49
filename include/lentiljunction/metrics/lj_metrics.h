#pragma once

/// @file
/// Module metrics: counters and histograms. Depends on core and prometheus-cpp.

#include "lentiljunction/metrics/GatewayMetrics.h"
#include "lentiljunction/metrics/Metrics.h"
