#pragma once

#include "LineUpstream.h"
#include "PlatformStore.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lentiljunction::standin {

/// The platform's side of a small site on loopback: the store with the promotion call, and one group of
/// three upstreams "u1" (the first primary), "u2" and "u3" in zones "z1" to "z3".
///
/// @code
/// PlatformSite site([] { return takeFreePort(); });
/// site.start(failure);
/// site.configure(1, { "bookings" });
/// @endcode
class PlatformSite {
public:
    /// @param allocatePort gives a free port
    explicit PlatformSite(const std::function<std::uint16_t()>& allocatePort);
    ~PlatformSite();

    /// Opens all ports and starts.
    bool start(Failure& failure);

    /// Opens another port of the store, with a fault of its own.
    ///
    /// @returns its address
    Endpoint openStorePort(Failure& failure);

    /// Writes a configuration. The database "bookings" gets a primary route, each other one reads its own
    /// writes.
    void configure(std::uint64_t version, const std::vector<std::string>& databases);

    /// Tells the store what an upstream says of itself.
    void report(const std::string& id, bool isPrimary, bool isLeaving = false);

    /// Publishes another address for an upstream, such as that of a relay in front of it.
    ///
    /// @returns where the upstream itself listens
    Endpoint publishAddress(const std::string& id, const Endpoint& address);

    PlatformStore& getStore() { return this->store; }
    LineGroup& getGroup() { return this->group; }

private:
    std::function<std::uint16_t()> allocatePort;
    EventLoop loop;
    PlatformStore store;
    LineGroup group;
    std::map<std::string, Endpoint> endpoints;
};

} // namespace lentiljunction::standin
