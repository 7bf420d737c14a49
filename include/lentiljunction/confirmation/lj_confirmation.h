#pragma once

/// @file
/// Module confirmation: when a write is durable, and how old data is. Depends on bundle and session.

#include "lentiljunction/confirmation/ConfirmationTracker.h"
#include "lentiljunction/confirmation/FreshnessHistory.h"
