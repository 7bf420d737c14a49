#pragma once

/// @file
/// Module core: ids, units, time, outcomes, schedulers and log events. Depends on the standard library, nlohmann-json and spdlog.

#include "lentiljunction/core/Backoff.h"
#include "lentiljunction/core/Buffers.h"
#include "lentiljunction/core/Cbor.h"
#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Endpoint.h"
#include "lentiljunction/core/EventLoop.h"
#include "lentiljunction/core/Failure.h"
#include "lentiljunction/core/HandlerGuard.h"
#include "lentiljunction/core/Ids.h"
#include "lentiljunction/core/Json.h"
#include "lentiljunction/core/JsonFields.h"
#include "lentiljunction/core/JsonSlices.h"
#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/core/Numbers.h"
#include "lentiljunction/core/Outcome.h"
#include "lentiljunction/core/ProcessEnd.h"
#include "lentiljunction/core/Random.h"
#include "lentiljunction/core/Rank.h"
#include "lentiljunction/core/RendezvousHash.h"
#include "lentiljunction/core/Scheduler.h"
#include "lentiljunction/core/ScopedFlag.h"
#include "lentiljunction/core/Threads.h"
