#include "TransactionPlans.h"

namespace lentiljunction {

namespace {

    TransactionPlan::Kind chooseKind(const Request& request)
    {
        switch (request.action) {
        case TransactionAction::None:
            return request.isRead() ? TransactionPlan::Kind::Read : TransactionPlan::Kind::Write;
        case TransactionAction::Begin:
            return TransactionPlan::Kind::Begin;
        case TransactionAction::Continue:
            return TransactionPlan::Kind::Continue;
        case TransactionAction::Commit:
            return TransactionPlan::Kind::Commit;
        case TransactionAction::Rollback:
            return TransactionPlan::Kind::Rollback;
        }
        return TransactionPlan::Kind::Rollback;
    }

} // namespace

TransactionPlan makePlan(const Request& request, const std::string& statusSql)
{
    TransactionPlan plan;
    plan.kind = chooseKind(request);
    plan.statements = request.statements;
    plan.statusSql = statusSql;
    plan.key = request.key;
    if (plan.kind == TransactionPlan::Kind::Read)
        plan.requiredPoint = request.session.find(request.database);
    return plan;
}

} // namespace lentiljunction
