#pragma once

/// @file
/// Module settings: reads the INI file of one instance. Depends on core, bundle and inih.

#include "lentiljunction/settings/Settings.h"
