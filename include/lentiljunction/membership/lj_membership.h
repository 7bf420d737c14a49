#pragma once

/// @file
/// Module membership: which instances live. Depends on core and settings.

#include "lentiljunction/membership/GossipQueue.h"
#include "lentiljunction/membership/Member.h"
#include "lentiljunction/membership/MemberTable.h"
#include "lentiljunction/membership/Membership.h"
#include "lentiljunction/membership/MembershipMessage.h"
#include "lentiljunction/membership/ProbeOrder.h"
