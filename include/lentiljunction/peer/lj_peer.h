#pragma once

/// @file
/// Module peer: messages between instances. Depends on caller, membership and nlohmann-json.

#include "lentiljunction/peer/PeerMessage.h"
