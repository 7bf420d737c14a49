#pragma once

#include "lentiljunction/interactive/LeadStatus.h"

#include <optional>
#include <vector>

namespace lentiljunction {

/// Judges whether a primary had not been replaced when it answered, without the store.
///
/// A promotion is visible at the upstream that it made the primary, and its term at those that
/// followed it later. So if, asked after the answer came, the primary still leads its term and every
/// other upstream of the group is a replica in no higher term, no promotion had taken effect before.
///
/// @param primary what the primary says of itself; nothing when it did not answer
/// @param others what each other upstream of the group says; nothing for one that did not answer
/// @returns whether that is proved
inline bool isPrimaryVerified(const std::optional<LeadStatus>& primary, const std::vector<std::optional<LeadStatus>>& others)
{
    // A group of which only the primary is known may have others.
    if (!primary || !primary->isPrimary || others.empty())
        return false;
    for (const std::optional<LeadStatus>& other : others) {
        if (!other || other->isPrimary || other->term > primary->term)
            return false;
    }
    return true;
}

} // namespace lentiljunction
