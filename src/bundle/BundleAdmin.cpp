#include "lentiljunction/bundle/BundleAdmin.h"

#include "lentiljunction/bundle/Signing.h"
#include "lentiljunction/core/Json.h"
#include "lentiljunction/core/JsonFields.h"

#include <cstdlib>
#include <utility>

namespace lentiljunction {

namespace {

    BundleVersion parseVersion(const std::string& text)
    {
        return BundleVersion(std::strtoull(text.c_str(), nullptr, 10));
    }

    std::optional<nlohmann::json> parseStored(const StoreObject& object, Failure& failure)
    {
        nlohmann::json document = parseJson(object.value);
        if (!document.is_discarded())
            return document;
        failure.set(Failure::Kind::InvalidInput, object.key + " in the store is not JSON");
        return std::nullopt;
    }

} // namespace

BundleAdmin::BundleAdmin(PlatformStore& store, OperatorSet trust)
    : store(store)
    , trust(std::move(trust))
{
}

std::optional<BundleVersion> BundleAdmin::create(const nlohmann::json& document, Failure& failure)
{
    std::optional<Bundle> bundle = parseBundle(document, failure);
    if (!bundle)
        return std::nullopt;

    Failure pointerFailure;
    std::optional<StoreObject> pointer = this->getPointer(pointerFailure);
    if (!pointer && pointerFailure.kind != Failure::Kind::NotFound) {
        failure = pointerFailure;
        return std::nullopt;
    }
    if (pointer && bundle->version <= parseVersion(pointer->value)) {
        failure.set(Failure::Kind::Conflict, "version " + pointer->value + " is in force; the new version must be higher");
        return std::nullopt;
    }
    if (putOnce(this->store, storekeys::bundleText(bundle->version), toCanonicalText(document), failure))
        return bundle->version;

    if (failure.kind == Failure::Kind::Conflict)
        failure.reason = "version " + std::to_string(bundle->version.value()) + " already exists; use a higher version";
    return std::nullopt;
}

bool BundleAdmin::approve(BundleVersion version, const std::string& operatorName, const std::string& privateKey, Failure& failure)
{
    std::optional<std::string> text = this->getText(version, failure);
    std::optional<OperatorSet> approvers = text ? this->getApprovers(failure) : std::nullopt;
    std::optional<std::string> publicKey = approvers ? derivePublicKey(privateKey, failure) : std::nullopt;
    if (!publicKey)
        return false;

    std::map<std::string, std::string>::const_iterator known = approvers->keys.find(operatorName);
    if (known == approvers->keys.end() || known->second != *publicKey) {
        failure.set(Failure::Kind::InvalidInput, "the key does not belong to an operator named " + operatorName + " in the operator set that approves this bundle");
        return false;
    }

    Failure textFailure;
    std::optional<Bundle> bundle = parseBundle(parseJson(*text), textFailure);
    if (!bundle) {
        failure = textFailure;
        return false;
    }
    nlohmann::json operators = parseJson(*text).at("operators");
    std::optional<std::string> signature = signText(privateKey, SigningPurpose::Bundle, *text, failure);
    std::optional<std::string> operatorsSignature = signText(privateKey, SigningPurpose::Operators, toCanonicalText(operators), failure);
    if (!signature || !operatorsSignature)
        return false;

    std::vector<Approval> approval { { operatorName, *signature, *operatorsSignature } };
    return putOnce(this->store, storekeys::bundleApprovals(version) + operatorName, toJsonText(toJson(approval)), failure);
}

bool BundleAdmin::roll(BundleVersion version, Failure& failure)
{
    Failure pointerFailure;
    std::optional<StoreObject> pointer = this->getPointer(pointerFailure);
    if (!pointer && pointerFailure.kind != Failure::Kind::NotFound) {
        failure = pointerFailure;
        return false;
    }
    if (pointer && parseVersion(pointer->value) == version)
        return true;
    if (pointer && parseVersion(pointer->value) > version) {
        failure.set(Failure::Kind::Conflict, "version " + pointer->value + " is in force; a bundle never reverts");
        return false;
    }

    std::optional<SignedBundle> bundle = this->assemble(version, failure);
    if (!bundle || !verifyBundle(*bundle, this->trust, failure))
        return false;

    std::string text = toJsonText(toJson(*bundle));
    bool isStored = putOnce(this->store, storekeys::signedBundle(version), text, failure);
    if (!isStored && failure.kind != Failure::Kind::Conflict)
        return false;
    return this->movePointer(pointer, version, failure);
}

std::optional<SignedBundle> BundleAdmin::getCurrent(Failure& failure)
{
    std::optional<StoreObject> pointer = this->getPointer(failure);
    if (!pointer)
        return std::nullopt;

    std::optional<StoreObject> object = this->store.get(storekeys::signedBundle(parseVersion(pointer->value)), failure);
    std::optional<nlohmann::json> document = object ? parseStored(*object, failure) : std::nullopt;
    if (!document)
        return std::nullopt;
    return parseSignedBundle(*document, failure);
}

std::optional<std::string> BundleAdmin::getText(BundleVersion version, Failure& failure)
{
    std::optional<StoreObject> object = this->store.get(storekeys::bundleText(version), failure);
    if (object)
        return object->value;
    if (failure.kind == Failure::Kind::NotFound)
        failure.reason = "there is no bundle with version " + std::to_string(version.value());
    return std::nullopt;
}

std::optional<BundleAdmin::Progress> BundleAdmin::getProgress(BundleVersion version, Failure& failure)
{
    if (!this->getText(version, failure))
        return std::nullopt;

    std::optional<std::vector<Approval>> approvals = this->getApprovals(version, failure);
    std::optional<OperatorSet> approvers = approvals ? this->getApprovers(failure) : std::nullopt;
    if (!approvers)
        return std::nullopt;

    Progress progress;
    progress.version = version;
    progress.threshold = approvers->threshold;
    for (const Approval& approval : *approvals)
        progress.approvedBy.push_back(approval.operatorName);
    std::optional<StoreObject> pointer = this->getPointer(failure);
    progress.isInForce = pointer && parseVersion(pointer->value) == version;
    return progress;
}

std::optional<StoreObject> BundleAdmin::getPointer(Failure& failure)
{
    return this->store.get(storekeys::currentBundle, failure);
}

std::optional<std::vector<Approval>> BundleAdmin::getApprovals(BundleVersion version, Failure& failure)
{
    std::optional<std::vector<std::string>> keys = this->store.list(storekeys::bundleApprovals(version), failure);
    if (!keys)
        return std::nullopt;

    std::vector<Approval> approvals;
    for (const std::string& key : *keys) {
        std::optional<StoreObject> object = this->store.get(key, failure);
        std::optional<nlohmann::json> document = object ? parseStored(*object, failure) : std::nullopt;
        if (!document)
            return std::nullopt;
        std::vector<std::string> faults;
        for (const Approval& approval : parseApprovals(*document, key, faults))
            approvals.push_back(approval);
    }
    return approvals;
}

std::optional<OperatorSet> BundleAdmin::getApprovers(Failure& failure)
{
    Failure currentFailure;
    std::optional<SignedBundle> current = this->getCurrent(currentFailure);
    if (!current && currentFailure.kind == Failure::Kind::NotFound)
        return this->trust;
    if (!current) {
        failure = currentFailure;
        return std::nullopt;
    }

    std::optional<Bundle> bundle = verifyBundle(*current, this->trust, failure);
    if (!bundle)
        return std::nullopt;
    return bundle->operators;
}

std::optional<SignedBundle> BundleAdmin::assemble(BundleVersion version, Failure& failure)
{
    std::optional<std::string> text = this->getText(version, failure);
    std::optional<std::vector<Approval>> approvals = text ? this->getApprovals(version, failure) : std::nullopt;
    if (!approvals)
        return std::nullopt;

    SignedBundle bundle { *text, *approvals, {} };
    Failure currentFailure;
    std::optional<SignedBundle> current = this->getCurrent(currentFailure);
    if (!current && currentFailure.kind != Failure::Kind::NotFound) {
        failure = currentFailure;
        return std::nullopt;
    }
    if (!current)
        return bundle;

    std::optional<std::vector<SignedOperators>> chain = makeSuccessorChain(*current, failure);
    if (!chain)
        return std::nullopt;
    bundle.chain = *chain;
    return bundle;
}

bool BundleAdmin::movePointer(const std::optional<StoreObject>& before, BundleVersion version, Failure& failure)
{
    std::string value = std::to_string(version.value());
    StoreVersion expected = before ? before->version : StoreVersion();
    if (this->store.put(storekeys::currentBundle, expected, value, failure))
        return true;
    if (failure.kind == Failure::Kind::Unavailable)
        return false;

    Failure readFailure;
    std::optional<StoreObject> now = this->getPointer(readFailure);
    if (!now)
        return false;
    if (now->value == value)
        return true;

    // An unchanged pointer shows that the update has had no effect so far, but it may still arrive.
    bool isUnchanged = before && now->version == before->version;
    if (isUnchanged)
        failure.set(Failure::Kind::InDoubt, "the store did not answer and version " + now->value + " is still in force; look again with bundle status");
    else
        failure.set(Failure::Kind::Conflict, "another operator rolled version " + now->value + " first");
    return false;
}

} // namespace lentiljunction
