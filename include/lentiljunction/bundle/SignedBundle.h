#pragma once

#include "lentiljunction/bundle/Bundle.h"

#include <optional>
#include <string>
#include <vector>

namespace lentiljunction {

/// One operator's approval of a bundle.
struct Approval {
    std::string operatorName;
    /// Signature of the bundle's text, in hexadecimal.
    std::string signature;
    /// Signature of the text of the bundle's operator set, so that the set can be verified without the
    /// bundle.
    std::string operatorsSignature;
};

/// An operator set with the approvals that put it in force.
struct SignedOperators {
    std::string text;
    std::vector<Approval> approvals;
};

/// A bundle's canonical text with everything needed to verify it from the trusted keys alone.
///
/// The chain holds all operator sets from the first to the one that approves this bundle. Each set
/// is approved by the preceding set, and the first set by the keys of the settings.
///
/// @see ActiveBundle
struct SignedBundle {
    std::string text;
    std::vector<Approval> approvals;
    std::vector<SignedOperators> chain;
};

/// @returns the text of a document that operators sign
std::string toCanonicalText(const nlohmann::json& document);

/// @returns the bundle as stored and sent
nlohmann::json toJson(const SignedBundle& bundle);

/// @returns the bundle parsed from JSON, or nothing with the faults in `failure`
std::optional<SignedBundle> parseSignedBundle(const nlohmann::json& document, Failure& failure);

/// @returns approvals as JSON
nlohmann::json toJson(const std::vector<Approval>& approvals);

/// @returns approvals parsed from JSON; faults are added with their paths
std::vector<Approval> parseApprovals(const nlohmann::json& document, const std::string& path, std::vector<std::string>& faults);

/// @returns the chain as JSON
nlohmann::json toJson(const std::vector<SignedOperators>& chain);

/// @returns a chain parsed from JSON; faults are added with their paths
std::vector<SignedOperators> parseChain(const nlohmann::json& document, const std::string& path, std::vector<std::string>& faults);

/// Parses a signed bundle and verifies its chain and approvals, starting from the trusted keys.
///
/// @param bundle the received bundle
/// @param trust the operators of the settings
/// @param failure receives the first invalid set of the chain, or the missing approvals
/// @returns the parsed bundle if its chain is complete and enough operators approved it
std::optional<Bundle> verifyBundle(const SignedBundle& bundle, const OperatorSet& trust, Failure& failure);

/// Verifies a signed bundle whose text was already parsed as JSON.
///
/// @param document the JSON document of the bundle's text
std::optional<Bundle> verifyBundle(const SignedBundle& bundle, const nlohmann::json& document, const OperatorSet& trust, Failure& failure);

/// Creates the chain for the successor of a bundle.
///
/// @param current the bundle in force
/// @param failure receives the reason when the bundle cannot be parsed
/// @returns its chain, extended by its own operator set if that set is new
std::optional<std::vector<SignedOperators>> makeSuccessorChain(const SignedBundle& current, Failure& failure);

} // namespace lentiljunction
