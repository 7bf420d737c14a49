#include "lentiljunction/membership/Member.h"

namespace lentiljunction {

std::string toString(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Dead:
        return "dead";
    }
    return "dead";
}

bool overrides(const Member& update, const Member& known)
{
    if (update.incarnation != known.incarnation)
        return update.incarnation > known.incarnation;
    return update.state > known.state;
}

} // namespace lentiljunction
