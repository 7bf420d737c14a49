#include "lentiljunction/failover/TermReserve.h"

#include "lentiljunction/core/JsonFields.h"
#include "lentiljunction/core/ProcessEnd.h"

#include <algorithm>

namespace lentiljunction {

namespace {

    constexpr std::uint64_t termsPerBlock = 8;
    constexpr std::size_t maximumGrants = 16;
    constexpr std::int64_t maximumTerm = 1'000'000'000'000'000;

} // namespace

void TermReserve::add(Term first, Term newLast)
{
    checkInvariant(first > this->last, "a block of terms begins above the last one");
    this->next = first;
    this->last = newLast;
}

std::optional<Term> TermReserve::take(Term above)
{
    Term candidate = std::max(this->next, above.next());
    if (candidate > this->last)
        return std::nullopt;

    this->next = candidate.next();
    return candidate;
}

std::size_t TermReserve::getNumUsable(Term above) const
{
    Term candidate = std::max(this->next, above.next());
    if (candidate > this->last)
        return 0;
    return this->last.value() - candidate.value() + 1;
}

TermRecord::Grant TermRecord::grant(const std::string& nonce, Term above)
{
    std::optional<Grant> earlier = this->find(nonce);
    if (earlier)
        return *earlier;

    Term first = std::max(this->nextTerm, above.next());
    Grant granted { nonce, first, Term(first.value() + termsPerBlock - 1) };
    this->nextTerm = granted.last.next();
    this->grants.push_back(granted);
    if (this->grants.size() > maximumGrants)
        this->grants.erase(this->grants.begin());
    return granted;
}

std::optional<TermRecord::Grant> TermRecord::find(const std::string& nonce) const
{
    for (const Grant& grant : this->grants) {
        if (grant.nonce == nonce)
            return grant;
    }
    return std::nullopt;
}

nlohmann::json toJson(const TermRecord& record)
{
    nlohmann::json grants = nlohmann::json::array();
    for (const TermRecord::Grant& grant : record.grants)
        grants.push_back({ { "nonce", grant.nonce }, { "first", grant.first.value() }, { "last", grant.last.value() } });
    return { { "next_term", record.nextTerm.value() }, { "grants", grants } };
}

std::optional<TermRecord> parseTermRecord(const nlohmann::json& document)
{
    std::vector<std::string> faults;
    JsonFields fields(document, "term_record", faults);
    TermRecord record;
    record.nextTerm = Term(static_cast<std::uint64_t>(fields.getInteger("next_term", 1, maximumTerm)));
    const nlohmann::json& grants = fields.getValue("grants");
    if (!grants.is_array())
        return std::nullopt;

    for (const nlohmann::json& element : grants) {
        JsonFields grantFields(element, "grant", faults);
        TermRecord::Grant grant;
        grant.nonce = grantFields.getText("nonce");
        grant.first = Term(static_cast<std::uint64_t>(grantFields.getInteger("first", 1, maximumTerm)));
        grant.last = Term(static_cast<std::uint64_t>(grantFields.getInteger("last", 1, maximumTerm)));
        record.grants.push_back(grant);
    }
    if (!faults.empty())
        return std::nullopt;
    return record;
}

} // namespace lentiljunction
