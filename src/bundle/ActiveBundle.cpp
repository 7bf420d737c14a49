#include "lentiljunction/bundle/ActiveBundle.h"

#include "lentiljunction/core/Json.h"
#include "lentiljunction/core/JsonFields.h"

#include <algorithm>
#include <array>
#include <utility>

namespace lentiljunction {

namespace {

    /// The number of past versions from which a delta can be made. An instance further behind gets a full copy.
    constexpr std::size_t maximumDeltaSteps = 64;
    constexpr std::int64_t maximumVersion = 1'000'000'000'000;
    /// A delta with more operations is not shorter than the bundle.
    constexpr std::size_t maximumDeltaOperations = 10000;

    /// Applies one operation of a patch of another instance.
    ///
    /// Only the operations that nlohmann::json::diff() makes are allowed: a copy doubles the document, and a few dozen
    /// exceed the memory. The library ends the process when a value is added to a number or a text.
    ///
    /// @returns whether the operation was applied
    /// @throws nlohmann::json::exception when it is malformed or names a value that does not exist
    bool applyOperation(nlohmann::json& document, const nlohmann::json& operation)
    {
        constexpr std::array<std::string_view, 3> allowed { "add", "remove", "replace" };
        std::string name = operation.at("op").get<std::string>();
        std::string path = operation.at("path").get<std::string>();
        bool isAllowed = std::find(allowed.begin(), allowed.end(), name) != allowed.end();
        bool isTooDeep = static_cast<std::size_t>(std::count(path.begin(), path.end(), '/')) > maximumNesting;
        nlohmann::json::json_pointer target(path);
        if (!isAllowed || isTooDeep || target.empty() || !document.at(target.parent_pointer()).is_structured())
            return false;
        document.patch_inplace(nlohmann::json::array({ operation }));
        return true;
    }

    /// @returns whether all operations were applied
    /// @throws nlohmann::json::exception as applyOperation()
    bool applySteps(nlohmann::json& document, const std::vector<nlohmann::json>& steps)
    {
        std::size_t numOperations = 0;
        for (const nlohmann::json& step : steps) {
            for (const nlohmann::json& operation : step) {
                if (++numOperations > maximumDeltaOperations || !applyOperation(document, operation))
                    return false;
            }
        }
        return true;
    }

} // namespace

nlohmann::json toJson(const BundleDelta& delta)
{
    return {
        { "from", delta.from.value() },
        { "to", delta.to.value() },
        { "steps", delta.steps },
        { "approvals", toJson(delta.approvals) },
        { "chain", toJson(delta.chain) },
    };
}

std::optional<BundleDelta> parseBundleDelta(const nlohmann::json& document, Failure& failure)
{
    std::vector<std::string> faults;
    JsonFields fields(document, "delta", faults);
    BundleDelta delta;
    delta.from = BundleVersion(static_cast<std::uint64_t>(fields.getInteger("from", 1, maximumVersion)));
    delta.to = BundleVersion(static_cast<std::uint64_t>(fields.getInteger("to", 1, maximumVersion)));
    delta.approvals = parseApprovals(fields.getValue("approvals"), "delta.approvals", faults);
    delta.chain = parseChain(fields.getValue("chain"), "delta.chain", faults);

    const nlohmann::json& steps = fields.getValue("steps");
    if (steps.is_array())
        delta.steps.assign(steps.begin(), steps.end());
    else
        fields.addFault("steps", "must be an array");
    fields.rejectUnknownFields();

    if (faults.empty())
        return delta;
    failure.set(Failure::Kind::InvalidInput, joinFaults(faults));
    return std::nullopt;
}

ActiveBundle::ActiveBundle(OperatorSet trust)
    : trust(std::move(trust))
{
}

ActiveBundle::OfferResult ActiveBundle::offer(const SignedBundle& offered, Failure& failure)
{
    nlohmann::json next = parseJson(offered.text);
    if (next.is_discarded()) {
        failure.set(Failure::Kind::InvalidInput, "the bundle is not JSON");
        return OfferResult::Refused;
    }

    std::vector<nlohmann::json> patchesToNext;
    if (this->bundle != nullptr)
        patchesToNext.push_back(nlohmann::json::diff(this->document, next));
    return this->activate(offered, std::move(next), std::move(patchesToNext), failure);
}

ActiveBundle::OfferResult ActiveBundle::offer(const BundleDelta& delta, Failure& failure)
{
    if (delta.to <= this->getVersion())
        return OfferResult::NotHigher;
    if (delta.from != this->getVersion())
        return OfferResult::NeedsFullCopy;

    nlohmann::json next = this->document;
    try {
        if (!applySteps(next, delta.steps)) {
            failure.set(Failure::Kind::InvalidInput, "the delta has an operation that is not allowed, or too many of them");
            return OfferResult::NeedsFullCopy;
        }
    } catch (const nlohmann::json::exception& error) {
        failure.set(Failure::Kind::InvalidInput, std::string("the delta cannot be applied: ") + error.what());
        return OfferResult::NeedsFullCopy;
    }
    SignedBundle offered { toCanonicalText(next), delta.approvals, delta.chain };
    return this->activate(offered, std::move(next), delta.steps, failure);
}

ActiveBundle::OfferResult ActiveBundle::activate(const SignedBundle& offered, nlohmann::json next, std::vector<nlohmann::json> patchesToNext, Failure& failure)
{
    std::optional<Bundle> verified = verifyBundle(offered, next, this->trust, failure);
    if (!verified)
        return OfferResult::Refused;

    if (verified->version <= this->getVersion())
        return OfferResult::NotHigher;

    if (!this->continuesOperatorChain(*verified, next, offered.chain, failure))
        return OfferResult::Refused;

    if (this->bundle != nullptr)
        this->steps.push_back({ this->bundle->version, std::move(patchesToNext) });
    if (this->steps.size() > maximumDeltaSteps)
        this->steps.pop_front();

    this->document = std::move(next);
    this->signedBundle = offered;
    this->bundle = std::make_shared<const Bundle>(std::move(*verified));
    return OfferResult::Accepted;
}

BundleVersion ActiveBundle::getVersion() const
{
    if (this->bundle == nullptr)
        return BundleVersion();
    return this->bundle->version;
}

std::optional<BundleDelta> ActiveBundle::makeDelta(BundleVersion from) const
{
    std::deque<Step>::const_iterator first = std::find_if(this->steps.begin(), this->steps.end(), [&](const Step& step) { return step.from == from; });
    if (first == this->steps.end())
        return std::nullopt;

    BundleDelta delta;
    delta.from = from;
    delta.to = this->getVersion();
    delta.approvals = this->signedBundle.approvals;
    delta.chain = this->signedBundle.chain;
    for (std::deque<Step>::const_iterator step = first; step != this->steps.end(); ++step)
        delta.steps.insert(delta.steps.end(), step->patches.begin(), step->patches.end());
    return delta;
}

bool ActiveBundle::continuesOperatorChain(const Bundle& next, const nlohmann::json& nextDocument, const std::vector<SignedOperators>& chain, Failure& failure) const
{
    if (this->bundle == nullptr)
        return true;

    const nlohmann::json& currentSet = this->document.at("operators");
    bool isUnchanged = next.operators.serial == this->bundle->operators.serial;
    if (isUnchanged && nextDocument.at("operators") == currentSet)
        return true;

    const std::string currentText = toCanonicalText(currentSet);
    for (const SignedOperators& link : chain) {
        if (link.text == currentText)
            return true;
    }
    failure.set(Failure::Kind::InvalidInput, "the bundle's chain does not contain the operators in force");
    return false;
}

} // namespace lentiljunction
