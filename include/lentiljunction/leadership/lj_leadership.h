#pragma once

/// @file
/// Module leadership: who leads each group, permits to rely on it, and the replacement of a primary.
/// Depends on core, routes and session.

#include "lentiljunction/leadership/ChangeForecast.h"
#include "lentiljunction/leadership/DutyTurn.h"
#include "lentiljunction/leadership/Failover.h"
#include "lentiljunction/leadership/LeadCodec.h"
#include "lentiljunction/leadership/LeadEvidence.h"
#include "lentiljunction/leadership/LeadRecord.h"
#include "lentiljunction/leadership/LeadView.h"
#include "lentiljunction/leadership/PermitBook.h"
#include "lentiljunction/leadership/SuspicionLedger.h"
#include "lentiljunction/leadership/TakeoverVote.h"
