#pragma once

#include "lentiljunction/core/Ids.h"
#include "lentiljunction/settings/Settings.h"

#include <optional>
#include <string>

namespace lentiljunction {

/// The state of a member. A later value overrides an earlier one of the same incarnation.
enum class MemberState {
    Alive,
    Suspect,
    /// The instance is draining: it finishes its work and does not become the gate of further upstreams.
    Leaving,
    Dead,
};

/// @returns the state's name
std::string toString(MemberState state);

/// An instance of the fleet.
struct Member {
    InstanceId id;
    ZoneId zone;
    Endpoint endpoint;
    MemberState state = MemberState::Alive;
    Incarnation incarnation;

    /// @returns whether the instance may be the gate of an upstream
    bool canServe() const { return this->state == MemberState::Alive || this->state == MemberState::Suspect; }
};

/// @returns whether `update` overrides the known state
bool overrides(const Member& update, const Member& known);

} // namespace lentiljunction
