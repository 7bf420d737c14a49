#pragma once

#include "LoadGenerator.h"

#include <set>
#include <string>
#include <vector>

namespace lentiljunction::lab {

/// Compares the responses to callers with the rows at the primaries. Reads from the primaries directly, without
/// the instances.
///
/// @param cluster the cluster that served the bookings
/// @param databases the databases that the bookings were written to
/// @param runName prefix of the bookings of this run
/// @param acknowledged bookings whose outcome was completed
/// @param refused bookings for which every response was not_run
/// @returns the counts; not verified when a primary could not be read
BookingCheck compareBookings(Cluster& cluster, const std::vector<std::string>& databases, const std::string& runName, const std::set<std::string>& acknowledged, const std::set<std::string>& refused);

} // namespace lentiljunction::lab
