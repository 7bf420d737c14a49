#pragma once

/// @file
/// Module workspaces: the callers that share API keys, limits and connections. Depends on core.

#include "lentiljunction/workspaces/KeyCheck.h"
#include "lentiljunction/workspaces/KeyDigest.h"
#include "lentiljunction/workspaces/WorkspaceId.h"
#include "lentiljunction/workspaces/WorkspaceTable.h"
