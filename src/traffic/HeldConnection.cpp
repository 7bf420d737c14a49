#include "HeldConnection.h"

#include <utility>

namespace lentiljunction {

void HeldConnection::rollBackAndRelease()
{
    HeldConnection released = std::exchange(*this, HeldConnection());
    if (!released.isHeld())
        return;
    UpstreamCommand command;
    command.kind = UpstreamCommand::Kind::Rollback;
    released.connection->sendLast(command, [released](const std::optional<SessionReply>& reply) {
        if (reply && reply->state == TransactionState::Idle)
            released.source->release(released.connection);
        else
            released.source->discard(released.connection);
    });
}

} // namespace lentiljunction
