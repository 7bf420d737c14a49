#pragma once

#include "UpstreamPool.h"
#include "lentiljunction/leadership/LeadView.h"

#include <memory>
#include <optional>

namespace lentiljunction {

/// The hold that a transaction has on a connection.
struct HeldConnection {
    std::shared_ptr<UpstreamPool> pool;
    UpstreamConnection* connection = nullptr;
    /// Set when the upstream counts as the primary.
    std::optional<Leader> primary;

    /// @returns whether there is a connection
    bool isHeld() const { return this->connection != nullptr; }

    /// Rolls the open transaction back and gives the connection to others once that is answered.
    void rollBackAndRelease();
};

} // namespace lentiljunction
