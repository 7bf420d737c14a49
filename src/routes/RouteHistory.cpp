#include "lentiljunction/routes/RouteHistory.h"

#include "lentiljunction/core/Cbor.h"
#include "lentiljunction/routes/RelayedRoutes.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    /// An instance that missed more versions takes the complete configuration.
    constexpr std::size_t maximumDeltas = 64;

} // namespace

void RouteHistory::add(const std::shared_ptr<const RouteTable>& newer)
{
    if (this->newest != nullptr) {
        this->deltas.push_back(computeRouteDelta(*this->newest, *newer, computeRouteTableDigest(*newer)));
        std::size_t numEntries = 0;
        for (const RouteDelta& delta : this->deltas)
            numEntries += delta.countEntries();
        // The history takes no more memory than the configuration itself.
        while (!this->deltas.empty() && (this->deltas.size() > maximumDeltas || numEntries > newer->routes.size() + newer->groups.size())) {
            numEntries -= this->deltas.front().countEntries();
            this->deltas.pop_front();
        }
    }
    this->newest = newer;
    this->contents.clear();
}

std::shared_ptr<const std::string> RouteHistory::getContent(const std::optional<BundleVersion>& have)
{
    if (this->newest == nullptr || (have && *have >= this->newest->version))
        return nullptr;
    bool isKnown = have && std::any_of(this->deltas.begin(), this->deltas.end(), [&](const RouteDelta& delta) { return delta.from == *have; });
    BundleVersion from = isKnown ? *have : BundleVersion();
    std::shared_ptr<const std::string>& content = this->contents[from];
    if (content == nullptr)
        content = isKnown ? this->encodeFrom(from) : std::make_shared<const std::string>(toCbor(encodeGroupedRoutes(*this->newest)));
    return content;
}

std::shared_ptr<const std::string> RouteHistory::encodeFrom(BundleVersion have) const
{
    std::deque<RouteDelta>::const_iterator first = std::find_if(this->deltas.begin(), this->deltas.end(), [&](const RouteDelta& delta) { return delta.from == have; });
    RouteDelta merged = *first;
    for (std::deque<RouteDelta>::const_iterator next = first + 1; next != this->deltas.end(); ++next)
        merged = mergeRouteDeltas(merged, *next);
    return std::make_shared<const std::string>(toCbor(encodeRouteDelta(merged)));
}

} // namespace lentiljunction
