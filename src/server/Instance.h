#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Failure.h"
#include "lentiljunction/settings/Settings.h"

#include <memory>

namespace lentiljunction {

/// One running entry instance: everything between callers and upstreams.
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
    /// @param settings checked settings
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

    /// Stops gracefully: tells peers and the balancer, takes requests for a short while longer,
    /// finishes what is in flight, and ends the threads. Blocks.
    ///
    /// @returns whether everything in flight was finished within the limit
    bool drain();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace lentiljunction
