#pragma once

/// @file
/// Module quota: limits of the workspaces' operations for all instances together. Depends on core, fleet and
/// workspaces.

#include "lentiljunction/quota/LocalAdmissions.h"
#include "lentiljunction/quota/QuotaAccountant.h"
#include "lentiljunction/quota/QuotaClient.h"
#include "lentiljunction/quota/QuotaCoordinator.h"
#include "lentiljunction/quota/QuotaCounts.h"
#include "lentiljunction/quota/QuotaLimit.h"
#include "lentiljunction/quota/QuotaMessage.h"
#include "lentiljunction/quota/QuotaPlan.h"
