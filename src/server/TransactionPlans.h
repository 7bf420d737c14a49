#pragma once

#include "lentiljunction/caller/Request.h"
#include "lentiljunction/execution/TransactionRunner.h"

#include <string>

namespace lentiljunction {

/// @param request a caller's request
/// @param statusSql the profile's status statement
/// @returns what is to be done on one connection
TransactionPlan makePlan(const Request& request, const std::string& statusSql);

} // namespace lentiljunction
