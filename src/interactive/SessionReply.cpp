#include "lentiljunction/interactive/SessionReply.h"

namespace lentiljunction {

const char* toString(ReplyCode code)
{
    switch (code) {
    case ReplyCode::None:
        return "success";
    case ReplyCode::Busy:
        return "busy";
    case ReplyCode::Aborted:
        return "aborted";
    case ReplyCode::Behind:
        return "behind";
    case ReplyCode::NotPrimary:
        return "not_primary";
    case ReplyCode::WrongUpstream:
        return "wrong_upstream";
    case ReplyCode::ConnectionLimit:
        return "connection_limit";
    case ReplyCode::NoSuchStatement:
        return "no_such_statement";
    case ReplyCode::Failed:
        return "failed";
    case ReplyCode::TimedOut:
        return "timed_out";
    case ReplyCode::InDoubt:
        return "in_doubt";
    case ReplyCode::NoDatabase:
        return "no_database";
    case ReplyCode::Unauthenticated:
        return "unauthenticated";
    case ReplyCode::Malformed:
        return "malformed";
    }
    return "unknown";
}

bool provesNotRun(ReplyCode code)
{
    switch (code) {
    case ReplyCode::Busy:
    case ReplyCode::Behind:
    case ReplyCode::NotPrimary:
    case ReplyCode::WrongUpstream:
    case ReplyCode::ConnectionLimit:
    case ReplyCode::NoSuchStatement:
        return true;
    default:
        return false;
    }
}

} // namespace lentiljunction
