#include "HeldConnection.h"

#include <utility>

namespace lentiljunction {

void HeldLink::rollBackAndRelease()
{
    HeldLink ending = std::exchange(*this, HeldLink());
    if (!ending.isHeld())
        return;
    UpstreamCommand command;
    command.kind = UpstreamCommand::Kind::Rollback;
    ending.link->send(command, [ending](const std::optional<SessionReply>& reply) {
        if (reply && reply->state == TransactionState::Idle)
            ending.pool->release(ending.link);
        else
            ending.pool->discard(ending.link);
    });
}

} // namespace lentiljunction
