#pragma once

/// @file
/// Module membership: the live instances of the fleet. Depends on core and settings.

#include "lentiljunction/membership/GossipQueue.h"
#include "lentiljunction/membership/Member.h"
#include "lentiljunction/membership/MemberTable.h"
#include "lentiljunction/membership/Membership.h"
#include "lentiljunction/membership/MembershipMessage.h"
#include "lentiljunction/membership/ProbeOrder.h"
