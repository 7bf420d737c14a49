#pragma once

/// @file
/// Module platform: the platform's store. Depends on core.

#include "lentiljunction/platform/PlatformStore.h"
