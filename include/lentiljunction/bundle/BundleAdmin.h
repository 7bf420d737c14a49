#pragma once

#include "lentiljunction/bundle/SignedBundle.h"
#include "lentiljunction/store/PlatformStore.h"

#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// What an operator does with bundles in the platform's store: create, approve, roll.
///
/// Each step is a conditional update. Of two operators racing, one wins, and the other is told
/// which version won. A lost answer of the store is resolved by reading back.
///
/// Calls block.
class BundleAdmin {
public:
    /// How far a proposed bundle is.
    struct Progress {
        BundleVersion version;
        std::vector<std::string> approvedBy;
        /// How many approvals the operators in force ask for.
        int threshold = 0;
        bool isInForce = false;
    };

    /// @param store the platform's store; must outlive this object
    /// @param trust the operators trusted before any bundle was rolled
    BundleAdmin(PlatformStore& store, OperatorSet trust);

    /// Proposes a bundle.
    ///
    /// @param document the bundle; its version must be higher than the one in force
    /// @param failure Conflict when the version is taken
    /// @returns the version
    std::optional<BundleVersion> create(const nlohmann::json& document, Failure& failure);

    /// Approves a proposed bundle.
    ///
    /// @param version the proposed version
    /// @param operatorName the operator
    /// @param privateKey the operator's private key in hexadecimal
    /// @param failure says what is wrong
    /// @returns whether the approval is stored
    bool approve(BundleVersion version, const std::string& operatorName, const std::string& privateKey, Failure& failure);

    /// Puts a proposed bundle in force.
    ///
    /// @param version the proposed version
    /// @param failure InvalidInput when approvals are missing, Conflict when another version won
    /// @returns whether it is in force
    bool roll(BundleVersion version, Failure& failure);

    /// @returns the bundle in force, or nothing; NotFound before the first
    std::optional<SignedBundle> getCurrent(Failure& failure);

    /// @returns the text of a proposed bundle
    std::optional<std::string> getText(BundleVersion version, Failure& failure);

    /// @returns how far a proposed bundle is
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
