#pragma once

#include "lentiljunction/routes/RouteTable.h"

#include <memory>

namespace lentiljunction {

/// Holds the routing configuration in force.
///
/// A table only replaces one of a lower version, regardless of the order in which versions arrive.
///
/// Not thread-safe; the control thread owns it.
///
/// @see RouteTable
class ActiveRoutes {
public:
    /// @returns whether the table is newer than the one in force and replaced it
    bool offer(std::shared_ptr<const RouteTable> candidate)
    {
        if (this->table != nullptr && candidate->version <= this->table->version)
            return false;
        this->table = std::move(candidate);
        return true;
    }

    /// @returns the table in force, or nullptr before the first
    const std::shared_ptr<const RouteTable>& getTable() const { return this->table; }

private:
    std::shared_ptr<const RouteTable> table;
};

} // namespace lentiljunction
