#pragma once

#include "lentiljunction/bundle/SignedBundle.h"
#include "lentiljunction/store/PlatformStore.h"

#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// The operators' actions on bundles in the platform's store: create, approve and roll.
///
/// Each action is a conditional update. Of two concurrent operators one wins, and the other gets a
/// failure that names the winning version. After a lost response of the store, the stored state is
/// read back to determine the result.
///
/// Calls block.
class BundleAdmin {
public:
    /// The approval state of a proposed bundle.
    struct Progress {
        BundleVersion version;
        std::vector<std::string> approvedBy;
        /// The number of approvals that the operator set in force requires.
        int threshold = 0;
        bool isInForce = false;
    };

    /// @param store the platform's store; must outlive this object
    /// @param trust the operators that approve the first bundle
    BundleAdmin(PlatformStore& store, OperatorSet trust);

    /// Stores a proposed bundle.
    ///
    /// @param document the bundle; its version must be higher than the one in force
    /// @param failure Conflict when the version is not higher or already exists
    /// @returns the version, or nothing on failure
    std::optional<BundleVersion> create(const nlohmann::json& document, Failure& failure);

    /// Approves a proposed bundle.
    ///
    /// @param version the proposed version
    /// @param operatorName the operator's name
    /// @param privateKey the operator's private key in hexadecimal
    /// @param failure receives the reason for a refusal
    /// @returns whether the approval is stored
    bool approve(BundleVersion version, const std::string& operatorName, const std::string& privateKey, Failure& failure);

    /// Puts a proposed bundle in force.
    ///
    /// @param version the proposed version
    /// @param failure InvalidInput when approvals are missing, Conflict when another version won, InDoubt
    /// when the store's response was lost and the update may still take effect
    /// @returns whether it is in force
    bool roll(BundleVersion version, Failure& failure);

    /// @returns the bundle in force, or nothing; the failure is NotFound before the first bundle
    std::optional<SignedBundle> getCurrent(Failure& failure);

    /// @returns the text of a proposed bundle, or nothing
    std::optional<std::string> getText(BundleVersion version, Failure& failure);

    /// @returns the approval state of a proposed bundle, or nothing
    std::optional<Progress> getProgress(BundleVersion version, Failure& failure);

private:
    std::optional<StoreObject> getPointer(Failure& failure);
    std::optional<std::vector<Approval>> getApprovals(BundleVersion version, Failure& failure);
    std::optional<OperatorSet> getApprovers(Failure& failure);
    std::optional<SignedBundle> assemble(BundleVersion version, Failure& failure);
    bool movePointer(const std::optional<StoreObject>& before, BundleVersion version, Failure& failure);

    PlatformStore& store;
    OperatorSet trust;
};

} // namespace lentiljunction
