#pragma once

#include "LoadGenerator.h"

#include <set>
#include <string>
#include <vector>

namespace lentiljunction::lab {

/// Compares what callers were told with the rows of the primaries, read past the instances.
///
/// @param cluster the cluster
/// @param databases the databases that bookings went to
/// @param runName the prefix of the run's bookings
/// @param acknowledged bookings answered completed
/// @param refused bookings answered not_run, and never unclear
BookingCheck compareBookings(Cluster& cluster, const std::vector<std::string>& databases, const std::string& runName, const std::set<std::string>& acknowledged, const std::set<std::string>& refused);

} // namespace lentiljunction::lab
