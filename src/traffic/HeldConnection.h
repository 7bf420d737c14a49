#pragma once

#include "ConnectionSource.h"
#include "lentiljunction/leadership/PrimaryView.h"

#include <memory>
#include <optional>

namespace lentiljunction {

/// A connection that a statement or transaction has acquired.
struct HeldConnection {
    std::shared_ptr<ConnectionSource> source;
    StatementConnection* connection = nullptr;
    /// Set when the upstream is used as the primary.
    std::optional<PrimaryTenure> primary;

    /// @returns whether a connection is held
    bool isHeld() const { return this->connection != nullptr; }

    /// Rolls back the open transaction and releases the connection when the rollback is answered.
    void rollBackAndRelease();
};

} // namespace lentiljunction
