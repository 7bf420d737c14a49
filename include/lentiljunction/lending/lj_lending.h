#pragma once

/// @file
/// Module lending: instances lend connections to upstreams to each other. Depends on core, fleet and interactive.

#include "lentiljunction/lending/LendingPlan.h"
