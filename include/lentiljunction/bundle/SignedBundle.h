#pragma once

#include "lentiljunction/bundle/Bundle.h"

#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// One operator's approval of a bundle.
struct Approval {
    std::string operatorName;
    /// Over the bundle's text.
    std::string signature;
    /// Over the text of the bundle's operator set, so that the set can be proved without the bundle.
    std::string operatorsSignature;
};

/// An operator set with the approvals that put it in place.
struct SignedOperators {
    std::string text;
    std::vector<Approval> approvals;
};

/// A bundle's canonical text with everything needed to check it from the trusted keys alone.
///
/// The chain holds each operator set from the first to the one that approves this bundle. Each
/// set is approved by the set before it, and the first by the keys of the settings.
///
/// @see ActiveBundle
struct SignedBundle {
    std::string text;
    std::vector<Approval> approvals;
    std::vector<SignedOperators> chain;
};

/// @returns the text over which approvals of a document are made
std::string toCanonicalText(const nlohmann::json& document);

/// @returns the bundle as stored and sent
nlohmann::json toJson(const SignedBundle& bundle);

/// @returns the bundle read from JSON, or nothing with the faults in `failure`
std::optional<SignedBundle> parseSignedBundle(const nlohmann::json& document, Failure& failure);

/// @returns approvals as JSON
nlohmann::json toJson(const std::vector<Approval>& approvals);

/// @returns approvals read from JSON; faults are added with their paths
std::vector<Approval> parseApprovals(const nlohmann::json& document, const std::string& path, std::vector<std::string>& faults);

/// @returns the chain as JSON
nlohmann::json toJson(const std::vector<SignedOperators>& chain);

/// @returns a chain read from JSON; faults are added with their paths
std::vector<SignedOperators> parseChain(const nlohmann::json& document, const std::string& path, std::vector<std::string>& faults);

/// Checks a signed bundle from the trusted keys on.
///
/// @param bundle what was received
/// @param trust the operators of the settings
/// @param failure says which link or approval is missing
/// @returns the parsed bundle when its chain is whole and enough operators approved it
std::optional<Bundle> verifyBundle(const SignedBundle& bundle, const OperatorSet& trust, Failure& failure);

/// Checks a signed bundle whose text was read already.
///
/// @param document what the bundle's text holds
std::optional<Bundle> verifyBundle(const SignedBundle& bundle, const nlohmann::json& document, const OperatorSet& trust, Failure& failure);

/// Makes the chain for the successor of a bundle.
///
/// @param current the bundle in force
/// @param failure says why the bundle cannot be read
/// @returns its chain, with its own operator set added when it brought a new one
std::optional<std::vector<SignedOperators>> makeSuccessorChain(const SignedBundle& current, Failure& failure);

} // namespace lentiljunction
