#pragma once

#include "lentiljunction/interactive/FailureCause.h"
#include "lentiljunction/quota/QuotaClient.h"

#include <functional>
#include <memory>
#include <string>

namespace lentiljunction {

/// Why an operation was not admitted, for the caller and for logs.
struct AdmissionRefusal {
    FailureCause cause = FailureCause::OverLimit;
    std::string message;
};

/// Requests the admission of a session's operations under the limit of their workspace, one at a time.
///
/// Not thread-safe; the traffic thread owns it.
class OperationAdmission {
public:
    /// @param refusal empty when the operation is admitted
    using Callback = std::function<void(const std::optional<AdmissionRefusal>& refusal)>;

    ~OperationAdmission() { this->cancel(); }

    /// Requests the admission of one operation. The callback may run before the call returns; it is not called after
    /// cancel() or destruction.
    ///
    /// @param newClient must outlive this object
    void request(QuotaClient& newClient, const WorkspaceId& newWorkspace, const Callback& callback);

    /// Ends the wait for an admission, and forgets that of an earlier operation.
    void cancel();

    /// @returns whether an operation waits for its admission
    bool isWaiting() const { return this->ticket != 0; }

    /// Reports that the operation that was admitted last certainly did not run.
    void giveBack();

private:
    QuotaClient* client = nullptr;
    WorkspaceId workspace;
    std::uint64_t ticket = 0;
    bool isAdmitted = false;
};

} // namespace lentiljunction
