#include "OperationAdmission.h"

#include <utility>

namespace lentiljunction {

namespace {

    std::optional<AdmissionRefusal> makeRefusal(const QuotaDecision& decision)
    {
        if (decision.isAdmitted())
            return std::nullopt;
        FailureCause cause = decision.kind == QuotaDecision::Kind::Refused ? FailureCause::OverLimit : FailureCause::LimitUndecided;
        // Rounded up, because a retry before that time is refused again.
        std::chrono::milliseconds wait = std::chrono::ceil<std::chrono::milliseconds>(decision.retryAfter);
        return AdmissionRefusal { cause, std::string(describe(cause)) + ", retry after " + std::to_string(wait.count()) + " ms" };
    }

} // namespace

void OperationAdmission::request(QuotaClient& newClient, const WorkspaceId& newWorkspace, const Callback& callback)
{
    this->cancel();
    this->client = &newClient;
    this->workspace = newWorkspace;
    this->ticket = this->client->admit(this->workspace, [this, callback](const QuotaDecision& decision) {
        this->ticket = 0;
        this->isAdmitted = decision.isAdmitted();
        callback(makeRefusal(decision));
    });
}

void OperationAdmission::cancel()
{
    this->isAdmitted = false;
    if (this->ticket != 0)
        this->client->cancel(std::exchange(this->ticket, 0));
}

void OperationAdmission::giveBack()
{
    if (std::exchange(this->isAdmitted, false))
        this->client->giveBack(this->workspace);
}

} // namespace lentiljunction
