#pragma once

/// @file
/// Module leadership: the primary of each group, the leases on the primary record, and failover.
/// Depends on core, routes and session.

#include "lentiljunction/leadership/CommitSurvey.h"
#include "lentiljunction/leadership/CoordinatorHandover.h"
#include "lentiljunction/leadership/Failover.h"
#include "lentiljunction/leadership/FailoverForecast.h"
#include "lentiljunction/leadership/GroupRegistration.h"
#include "lentiljunction/leadership/LeaseTracker.h"
#include "lentiljunction/leadership/LogHolderRemoval.h"
#include "lentiljunction/leadership/NewerTermDetector.h"
#include "lentiljunction/leadership/OpenPromotionTracker.h"
#include "lentiljunction/leadership/OpenPromotions.h"
#include "lentiljunction/leadership/PrimaryRecord.h"
#include "lentiljunction/leadership/PrimaryRecordCodec.h"
#include "lentiljunction/leadership/PrimaryVerification.h"
#include "lentiljunction/leadership/PrimaryView.h"
#include "lentiljunction/leadership/RecordRecovery.h"
#include "lentiljunction/leadership/RecoveryVote.h"
#include "lentiljunction/leadership/RoleMonitor.h"
#include "lentiljunction/leadership/RollCall.h"
#include "lentiljunction/leadership/SuspicionTracker.h"
#include "lentiljunction/leadership/TakeoverVote.h"
