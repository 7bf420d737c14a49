#pragma once

#include "lentiljunction/core/Ids.h"
#include "lentiljunction/settings/Settings.h"

#include <optional>
#include <string>

namespace lentiljunction {

/// What is known about an instance. Later states override earlier ones of the same incarnation.
enum class MemberState {
    Alive,
    Suspect,
    /// It drains: it finishes its work and takes no new gate.
    Leaving,
    Dead,
};

/// @returns the state's name
std::string toString(MemberState state);

/// One instance of the fleet.
struct Member {
    InstanceId id;
    ZoneId zone;
    Endpoint endpoint;
    MemberState state = MemberState::Alive;
    Incarnation incarnation;

    /// @returns whether the instance may be the gate of an upstream
    bool canServe() const { return this->state == MemberState::Alive || this->state == MemberState::Suspect; }
};

/// @returns whether `update` overrides what is known
bool overrides(const Member& update, const Member& known);

} // namespace lentiljunction
