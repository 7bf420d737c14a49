#pragma once

#include "UpstreamPool.h"
#include "lentiljunction/leadership/PrimaryView.h"

#include <memory>
#include <optional>

namespace lentiljunction {

/// The hold that a transaction has on a connection.
struct HeldLink {
    std::shared_ptr<UpstreamPool> pool;
    UpstreamLink* link = nullptr;
    /// Set when the upstream counts as the primary.
    std::optional<PrimaryTenure> leader;

    /// @returns whether there is a connection
    bool isHeld() const { return this->link != nullptr; }

    /// Rolls the open transaction back and gives the connection to others once that is answered.
    void rollBackAndRelease();
};

} // namespace lentiljunction
