#include "lentiljunction/bundle/SignedBundle.h"

#include "lentiljunction/bundle/Signing.h"
#include "lentiljunction/core/Json.h"
#include "lentiljunction/core/JsonFields.h"

namespace lentiljunction {

namespace {

    std::optional<nlohmann::json> parseText(const std::string& text, const std::string& what, Failure& failure)
    {
        nlohmann::json document = parseJson(text);
        if (!document.is_discarded())
            return document;

        failure.set(Failure::Kind::InvalidInput, what + " is not JSON");
        return std::nullopt;
    }

    int countBundleApprovals(const std::vector<Approval>& approvals, const std::string& text, const OperatorSet& operators)
    {
        int count = 0;
        for (const std::pair<const std::string, std::string>& key : operators.keys) {
            for (const Approval& approval : approvals) {
                if (approval.operatorName != key.first || !verifySignature(key.second, SigningPurpose::Bundle, text, approval.signature))
                    continue;
                count++;
                break;
            }
        }
        return count;
    }

    int countOperatorsApprovals(const SignedOperators& link, const OperatorSet& operators)
    {
        int count = 0;
        for (const std::pair<const std::string, std::string>& key : operators.keys) {
            for (const Approval& approval : link.approvals) {
                if (approval.operatorName != key.first || !verifySignature(key.second, SigningPurpose::Operators, link.text, approval.operatorsSignature))
                    continue;
                count++;
                break;
            }
        }
        return count;
    }

    std::optional<OperatorSet> verifyChain(const std::vector<SignedOperators>& chain, const OperatorSet& trust, Failure& failure)
    {
        OperatorSet current = trust;
        current.serial = 0;
        for (const SignedOperators& link : chain) {
            std::optional<nlohmann::json> document = parseText(link.text, "an operator set of the chain", failure);
            if (!document)
                return std::nullopt;

            std::vector<std::string> faults;
            OperatorSet next = parseOperatorSet(*document, "chain", faults);
            if (!faults.empty() || next.serial != current.serial + 1) {
                failure.set(Failure::Kind::InvalidInput, "the chain of operator sets is broken at serial " + std::to_string(current.serial + 1));
                return std::nullopt;
            }
            if (countOperatorsApprovals(link, current) < current.threshold) {
                failure.set(Failure::Kind::InvalidInput, "operator set " + std::to_string(next.serial) + " lacks approvals of the preceding set");
                return std::nullopt;
            }
            current = next;
        }
        return current;
    }

    bool isSameOperatorSet(const OperatorSet& left, const OperatorSet& right)
    {
        return left.serial == right.serial && left.threshold == right.threshold && left.keys == right.keys;
    }

} // namespace

std::string toCanonicalText(const nlohmann::json& document)
{
    return toJsonText(document);
}

nlohmann::json toJson(const std::vector<Approval>& approvals)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Approval& approval : approvals)
        list.push_back({ { "operator", approval.operatorName }, { "signature", approval.signature }, { "operators_signature", approval.operatorsSignature } });
    return list;
}

nlohmann::json toJson(const std::vector<SignedOperators>& chain)
{
    nlohmann::json list = nlohmann::json::array();
    for (const SignedOperators& link : chain)
        list.push_back({ { "text", link.text }, { "approvals", toJson(link.approvals) } });
    return list;
}

nlohmann::json toJson(const SignedBundle& bundle)
{
    return { { "text", bundle.text }, { "approvals", toJson(bundle.approvals) }, { "chain", toJson(bundle.chain) } };
}

std::vector<Approval> parseApprovals(const nlohmann::json& document, const std::string& path, std::vector<std::string>& faults)
{
    std::vector<Approval> approvals;
    if (!document.is_array()) {
        faults.push_back(path + " must be an array");
        return approvals;
    }

    for (const nlohmann::json& element : document) {
        JsonFields fields(element, path, faults);
        Approval approval;
        approval.operatorName = fields.getText("operator");
        approval.signature = fields.getText("signature");
        approval.operatorsSignature = fields.getText("operators_signature");
        fields.rejectUnknownFields();
        approvals.push_back(approval);
    }
    return approvals;
}

std::vector<SignedOperators> parseChain(const nlohmann::json& document, const std::string& path, std::vector<std::string>& faults)
{
    std::vector<SignedOperators> chain;
    if (!document.is_array()) {
        faults.push_back(path + " must be an array");
        return chain;
    }

    for (const nlohmann::json& element : document) {
        JsonFields fields(element, path, faults);
        SignedOperators link;
        link.text = fields.getText("text");
        link.approvals = parseApprovals(fields.getValue("approvals"), fields.pathOf("approvals"), faults);
        fields.rejectUnknownFields();
        chain.push_back(link);
    }
    return chain;
}

std::optional<SignedBundle> parseSignedBundle(const nlohmann::json& document, Failure& failure)
{
    std::vector<std::string> faults;
    JsonFields fields(document, "signed_bundle", faults);
    SignedBundle bundle;
    bundle.text = fields.getText("text");
    bundle.approvals = parseApprovals(fields.getValue("approvals"), "signed_bundle.approvals", faults);
    bundle.chain = parseChain(fields.getValue("chain"), "signed_bundle.chain", faults);
    fields.rejectUnknownFields();
    if (faults.empty())
        return bundle;

    failure.set(Failure::Kind::InvalidInput, joinFaults(faults));
    return std::nullopt;
}

std::optional<Bundle> verifyBundle(const SignedBundle& bundle, const OperatorSet& trust, Failure& failure)
{
    std::optional<nlohmann::json> document = parseText(bundle.text, "the bundle", failure);
    if (!document)
        return std::nullopt;
    return verifyBundle(bundle, *document, trust, failure);
}

std::optional<Bundle> verifyBundle(const SignedBundle& bundle, const nlohmann::json& document, const OperatorSet& trust, Failure& failure)
{
    std::optional<Bundle> parsed = parseBundle(document, failure);
    if (!parsed)
        return std::nullopt;

    std::optional<OperatorSet> approvers = verifyChain(bundle.chain, trust, failure);
    if (!approvers)
        return std::nullopt;

    bool bringsNewSet = parsed->operators.serial == approvers->serial + 1;
    if (!bringsNewSet && !isSameOperatorSet(parsed->operators, *approvers)) {
        failure.set(Failure::Kind::InvalidInput, "the bundle's operator set is neither the last set of its chain nor the next one");
        return std::nullopt;
    }

    int count = countBundleApprovals(bundle.approvals, bundle.text, *approvers);
    if (count >= approvers->threshold)
        return parsed;

    failure.set(Failure::Kind::InvalidInput, "the bundle has " + std::to_string(count) + " valid approvals of " + std::to_string(approvers->threshold) + " needed");
    return std::nullopt;
}

std::optional<std::vector<SignedOperators>> makeSuccessorChain(const SignedBundle& current, Failure& failure)
{
    std::optional<nlohmann::json> document = parseText(current.text, "the bundle", failure);
    if (!document)
        return std::nullopt;

    std::optional<Bundle> parsed = parseBundle(*document, failure);
    if (!parsed)
        return std::nullopt;

    std::vector<SignedOperators> chain = current.chain;
    if (parsed->operators.serial == chain.size() + 1)
        chain.push_back({ toCanonicalText(document->at("operators")), current.approvals });
    return chain;
}

} // namespace lentiljunction
