#pragma once

#include "Experiments.h"
#include "LoadGenerator.h"

#include <nlohmann/json.hpp>

namespace lentiljunction::lab {

/// @returns the check of bookings as JSON
nlohmann::json toJson(const BookingCheck& check);

/// @returns what became of a stream, with latencies of arrivals in the span, in milliseconds
nlohmann::json describeStream(const StreamResult& result, double from, double to);

/// Makes the primary of the first database fail.
void injectFault(Cluster& cluster, PrimaryFault fault);

} // namespace lentiljunction::lab
