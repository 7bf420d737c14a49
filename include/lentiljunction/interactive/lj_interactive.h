#pragma once

/// @file
/// Module interactive: caller sessions with session values, prepared statements and transactions.
/// Depends on core and session.

#include "lentiljunction/interactive/FailureCause.h"
#include "lentiljunction/interactive/ReplicationStatus.h"
#include "lentiljunction/interactive/ReplyPolicy.h"
#include "lentiljunction/interactive/RowList.h"
#include "lentiljunction/interactive/SessionContext.h"
#include "lentiljunction/interactive/SessionProtocol.h"
#include "lentiljunction/interactive/SessionReply.h"
#include "lentiljunction/interactive/SessionStatement.h"
#include "lentiljunction/interactive/UpstreamCommand.h"
