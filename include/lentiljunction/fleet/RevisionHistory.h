#pragma once

#include "lentiljunction/core/Clock.h"
#include "lentiljunction/core/Ids.h"

#include <deque>
#include <optional>

namespace lentiljunction {

/// Knows which revisions the store had issued at past times, and so how old a response that may be outdated at least is.
///
/// Not thread-safe.
class RevisionHistory {
public:
    /// A linearizable response named the newest revision.
    ///
    /// @param sentAt when the call was sent
    void onRevision(StoreVersion revision, StoreEra era, BootTime sentAt)
    {
        if (era != this->era)
            this->known.clear();
        this->era = era;
        this->known.push_back({ revision, sentAt });
        if (this->known.size() > maximumLength)
            this->known.pop_front();
    }

    /// @param sentAt when the call was sent
    /// @returns the latest time of which a response shows all changes: when the call was sent, unless an earlier
    /// response had named a later revision
    BootTime findCurrentAt(StoreVersion revision, StoreEra responseEra, BootTime sentAt) const
    {
        if (responseEra != this->era)
            return sentAt;
        BootTime current = sentAt;
        for (std::deque<Known>::const_reverse_iterator entry = this->known.rbegin(); entry != this->known.rend() && revision < entry->revision; ++entry) {
            if (entry->sentAt <= sentAt)
                current = std::next(entry) == this->known.rend() ? BootTime() : std::next(entry)->sentAt;
        }
        return current;
    }

private:
    struct Known {
        StoreVersion revision;
        BootTime sentAt;
    };

    /// Covers more than ten seconds of reads.
    static constexpr std::size_t maximumLength = 16;

    StoreEra era;
    std::deque<Known> known;
};

} // namespace lentiljunction
