#pragma once

#include "lentiljunction/leadership/PrimaryView.h"

#include <set>

namespace lentiljunction {

/// Logs each group whose primary an earlier promotion call may still replace, and when that ends.
///
/// Not thread-safe; the control thread owns it.
///
/// @see PrimaryView::isReplaceable()
class ReplaceableGroupLog {
public:
    /// Compares a view with the previous one.
    void onView(const PrimaryView& view);

private:
    std::set<GroupId> replaceable;
};

} // namespace lentiljunction
