#include "lentiljunction/leadership/NewerTermDetector.h"

#include <algorithm>
#include <chrono>

namespace lentiljunction {

namespace {

    /// Each reply may show the term; one action within this time suffices.
    constexpr std::chrono::milliseconds actionInterval { 100 };

    bool takeTurn(std::map<GroupId, BootTime>& actionsAt, const GroupId& group, BootTime now)
    {
        std::map<GroupId, BootTime>::iterator last = actionsAt.find(group);
        if (last != actionsAt.end() && now - last->second < actionInterval)
            return false;
        actionsAt[group] = now;
        return true;
    }

} // namespace

NewerTermDetector::Action NewerTermDetector::onTerm(const GroupId& group, const UpstreamId& upstream, Term term, const PrimaryView& view, BootTime now)
{
    Term& known = this->greatest[group];
    known = std::max(known, term);
    if (term < known || !this->hasNewerTerm(group, view))
        return Action();
    Action action;
    action.mustVerify = takeTurn(this->verificationsAt, group, now);
    bool isOther = view.latest.record->find(group)->primary != upstream;
    action.mustReport = isOther && view.hasValidLease(now) && takeTurn(this->reportsAt, group, now);
    return action;
}

void NewerTermDetector::onLed(const GroupId& group, const PrimaryTenure& primary, Term term)
{
    this->ledTerms[group] = { primary, term };
}

bool NewerTermDetector::mayPredateReturn(const GroupId& group, const PrimaryTenure& primary, const LogPoint& written, const PrimaryView& view) const
{
    const PrimaryEntry* entry = view.latest.record == nullptr ? nullptr : view.latest.record->find(group);
    std::map<GroupId, LedTerm>::const_iterator led = this->ledTerms.find(group);
    if (entry == nullptr || !entry->isTermKnown() || led == this->ledTerms.end() || led->second.primary != primary || led->second.term <= entry->term)
        return false;
    return written.term < led->second.term;
}

bool NewerTermDetector::hasNewerTerm(const GroupId& group, const PrimaryView& view) const
{
    const PrimaryEntry* entry = view.latest.record == nullptr ? nullptr : view.latest.record->find(group);
    std::map<GroupId, Term>::const_iterator reported = this->greatest.find(group);
    if (entry == nullptr || reported == this->greatest.end() || entry->phase != PrimaryPhase::Stable || !view.latest.record->isConfirmed(group))
        return false;
    if (!entry->isTermKnown())
        return false;
    std::map<GroupId, LedTerm>::const_iterator led = this->ledTerms.find(group);
    bool isLed = led != this->ledTerms.end() && led->second.primary == PrimaryTenure { entry->primary, entry->generation };
    return reported->second > (isLed ? std::max(entry->term, led->second.term) : entry->term);
}

} // namespace lentiljunction
