#pragma once

/// @file
/// Module audit: records of changes. Depends on core, platform and nlohmann-json.

#include "lentiljunction/audit/AuditTrail.h"
