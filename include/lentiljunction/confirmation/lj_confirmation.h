#pragma once

/// @file
/// Module confirmation: the durability of writes and the freshness of data. Depends on bundle and session.

#include "lentiljunction/confirmation/ConfirmationTracker.h"
#include "lentiljunction/confirmation/FreshnessHistory.h"
