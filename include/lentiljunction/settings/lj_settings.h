#pragma once

/// @file
/// Module settings: what one instance reads from its INI file. Depends on core, bundle and inih.

#include "lentiljunction/settings/Settings.h"
