#pragma once

/// @file
/// Module upstreamhealth: detects upstreams that fail part of their work and estimates how many statements they handle
/// well. Depends on core and admission.

#include "lentiljunction/upstreamhealth/CapacityEstimator.h"
#include "lentiljunction/upstreamhealth/OutlierDetector.h"
#include "lentiljunction/upstreamhealth/PauseDetector.h"
