#pragma once

#include "lentiljunction/core/Ids.h"

namespace lentiljunction {

/// A workspace: the callers that share API keys, a limit and connections to the upstreams.
using WorkspaceId = Name<struct WorkspaceTag>;

} // namespace lentiljunction
