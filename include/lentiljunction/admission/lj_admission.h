#pragma once

/// @file
/// Module admission: rank queues, concurrency, retries and load shedding. Depends on core and bundle.

#include "lentiljunction/admission/ConcurrencyLimit.h"
#include "lentiljunction/admission/ConcurrencyPolicy.h"
#include "lentiljunction/admission/DescriptorBudget.h"
#include "lentiljunction/admission/LoadShedder.h"
#include "lentiljunction/admission/MemoryAccount.h"
#include "lentiljunction/admission/MemoryBudget.h"
#include "lentiljunction/admission/RankQueue.h"
#include "lentiljunction/admission/RetryBudget.h"
#include "lentiljunction/admission/SharedConcurrencyLimit.h"
