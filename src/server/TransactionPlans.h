#pragma once

#include "lentiljunction/caller/Request.h"
#include "lentiljunction/execution/TransactionRunner.h"

#include <string>

namespace lentiljunction {

/// @param request a caller's request
/// @param statusSql the profile's status statement
/// @returns the statements to run on one connection, and how to treat their results
TransactionPlan makePlan(const Request& request, const std::string& statusSql);

} // namespace lentiljunction
