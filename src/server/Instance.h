#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Failure.h"
#include "lentiljunction/settings/Settings.h"

#include <memory>

namespace lentiljunction {

/// One running proxy instance with all its servers, threads and modules.
///
/// @code
/// SystemClock clock;
/// Instance instance(settings, clock);
/// if (instance.start(failure))
///     waitForSignal();
/// instance.drain();
/// @endcode
class Instance {
public:
    /// @param settings validated settings
    /// @param clock the source of time; must outlive this object
    Instance(const Settings& settings, const Clock& clock);
    ~Instance();
    Instance(const Instance&) = delete;
    Instance& operator=(const Instance&) = delete;

    /// Opens the ports and starts the threads.
    ///
    /// @param failure says which port cannot be opened
    /// @returns whether the instance runs
    bool start(Failure& failure);

    /// Stops gracefully: reports to peers and to the load balancer that the instance leaves, accepts
    /// requests during the drain grace period, finishes the requests in flight and ends the threads.
    /// Blocks.
    ///
    /// @returns whether all requests in flight finished within the drain limit
    bool drain();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace lentiljunction
