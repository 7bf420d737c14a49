#pragma once

/// @file
/// Module execution: statements and transactions on one connection. Depends on core, session and nlohmann-json.

#include "lentiljunction/execution/ResultCodec.h"
#include "lentiljunction/execution/SqlConnection.h"
#include "lentiljunction/execution/Statement.h"
#include "lentiljunction/execution/TransactionRunner.h"
