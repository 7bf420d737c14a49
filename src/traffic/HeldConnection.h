#pragma once

#include "UpstreamPool.h"
#include "lentiljunction/leadership/PrimaryView.h"

#include <memory>
#include <optional>

namespace lentiljunction {

/// A connection that a statement or transaction has acquired from a pool.
struct HeldConnection {
    std::shared_ptr<UpstreamPool> pool;
    UpstreamConnection* connection = nullptr;
    /// Set when the upstream is used as the primary.
    std::optional<PrimaryTenure> primary;

    /// @returns whether a connection is held
    bool isHeld() const { return this->connection != nullptr; }

    /// Rolls back the open transaction and releases the connection when the rollback is answered.
    void rollBackAndRelease();
};

} // namespace lentiljunction
