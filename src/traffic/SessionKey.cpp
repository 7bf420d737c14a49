#include "SessionKey.h"

#include "lentiljunction/core/LogEvents.h"

namespace lentiljunction {

namespace {

    /// A missing database is reported elsewhere.
    bool isPublicRoute(const RouteTable& routes, const DatabaseId& database)
    {
        const Route* route = routes.find(database);
        return route == nullptr || route->isPublic;
    }

} // namespace

KeyDecision checkKey(const TrafficState& state, const DatabaseId& database, const KeyDigest& key)
{
    const RouteTable& routes = *state.getRoutes();
    if (!routes.workspaces)
        return { KeyVerdict::Public, WorkspaceId() };
    return checkKey(*routes.workspaces, key, isPublicRoute(routes, database), state.getKeyFreshness(), state.getClock().bootNow());
}

KeyVerdict checkRunningKey(const TrafficState& state, const DatabaseId& database, const KeyDigest& key, const WorkspaceId& workspace)
{
    const RouteTable& routes = *state.getRoutes();
    if (!routes.workspaces)
        return workspace.isEmpty() ? KeyVerdict::Public : KeyVerdict::Unconfirmed;
    return checkRunningKey(*routes.workspaces, key, isPublicRoute(routes, database), workspace, state.getKeyFreshness(), state.getClock().bootNow());
}

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
    return isInTransaction ? checkRunningKey(this->state, this->database, this->digest, this->workspace) : checkKey(this->state, this->database, this->digest).verdict;
}

void SessionKey::logRefusal(KeyVerdict verdict) const
{
    logEvent(events::keyRefused, "database=" + this->database.toString() + " key_digest=" + this->digest.toString() + " reason=" + toString(verdict) + " routes_version=" + std::to_string(this->state.getRoutes()->version.value()));
}

} // namespace lentiljunction
