#include "SessionKey.h"

#include "lentiljunction/core/LogEvents.h"

namespace lentiljunction {

FailureCause toFailureCause(KeyVerdict verdict)
{
    return verdict == KeyVerdict::Unknown ? FailureCause::KeyUnknown : FailureCause::KeyUnconfirmed;
}

ReplyDecision decideKeyRefusal(KeyVerdict verdict, bool isInTransaction, bool isCommit)
{
    if (verdict == KeyVerdict::Unknown)
        return { ReplyDecision::Kind::Answer, ReplyCode::Unauthenticated, TransactionState::Idle };
    // Busy would tell the caller that its transaction is still open.
    if (isInTransaction)
        return { ReplyDecision::Kind::Answer, ReplyCode::Aborted, isCommit ? TransactionState::Idle : TransactionState::Failed };
    return { ReplyDecision::Kind::Answer, ReplyCode::Busy, TransactionState::Idle };
}

void SessionKey::set(const DatabaseId& newDatabase, const std::string& key)
{
    this->database = newDatabase;
    this->digest = computeKeyDigest(key);
}

KeyVerdict SessionKey::check(bool isInTransaction) const
{
    return isInTransaction ? this->state.checkRunningKey(this->database, this->digest, this->workspace) : this->state.checkKey(this->database, this->digest).verdict;
}

void SessionKey::logRefusal(KeyVerdict verdict) const
{
    logEvent(events::keyRefused, "database=" + this->database.toString() + " key_digest=" + this->digest.toString() + " reason=" + toString(verdict) + " routes_version=" + std::to_string(this->state.getRoutes()->version.value()));
}

} // namespace lentiljunction
