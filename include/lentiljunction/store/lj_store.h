#pragma once

/// @file
/// Module store: the platform's store. Depends on core.

#include "lentiljunction/store/PlatformStore.h"
