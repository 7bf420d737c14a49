#pragma once

#include "Experiments.h"
#include "LoadGenerator.h"

#include <nlohmann/json.hpp>

namespace lentiljunction::lab {

/// @returns the counts of a booking check
nlohmann::json toJson(const BookingCheck& check);

/// @returns the results of a stream, with the latencies in milliseconds of requests scheduled in the interval
nlohmann::json describeStream(const StreamResult& result, double fromMilliseconds, double toMilliseconds);

/// Makes the primary of the first database fail, which must have one.
void injectFault(Cluster& cluster, PrimaryFault fault);

} // namespace lentiljunction::lab
