#pragma once

#include "GatewaySettings.h"
#include "lentiljunction/core/EventLoop.h"
#include "lentiljunction/fleet/FleetStore.h"
#include "lentiljunction/interactive/SessionProtocol.h"

#include <memory>

namespace lentiljunction {

/// Connects a gateway instance to the platform on which it runs: the protocol of callers and upstreams, and
/// the shared store.
///
/// @see GatewayInstance
class GatewayAdapter {
public:
    virtual ~GatewayAdapter() = default;

    /// @returns the protocol of callers and upstreams
    virtual const SessionProtocol& getProtocol() const = 0;

    /// @returns the store that the instances share
    virtual std::unique_ptr<FleetStore> makeStore(EventLoop& controlLoop, const GatewaySettings& settings) const = 0;
};

} // namespace lentiljunction
