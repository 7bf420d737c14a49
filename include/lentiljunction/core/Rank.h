#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>

namespace lentiljunction {

/// The urgency of a request. Requests with lower values are run first.
enum class Rank {
    Urgent,
    Normal,
    Background,
};

/// The number of ranks.
constexpr std::size_t numRanks = 3;

/// All ranks, most urgent first.
constexpr std::array<Rank, numRanks> allRanks { Rank::Urgent, Rank::Normal, Rank::Background };

/// @returns the index of a rank, 0 for the most urgent
constexpr std::size_t toIndex(Rank rank)
{
    return static_cast<std::size_t>(rank);
}

/// @returns the rank's name as written in requests and bundles
inline std::string toString(Rank rank)
{
    switch (rank) {
    case Rank::Urgent:
        return "urgent";
    case Rank::Normal:
        return "normal";
    case Rank::Background:
        return "background";
    }
    return "normal";
}

/// @param text a name as returned by toString
/// @returns the rank, or nothing when no rank has this name
inline std::optional<Rank> parseRank(const std::string& text)
{
    for (Rank rank : allRanks) {
        if (toString(rank) == text)
            return rank;
    }
    return std::nullopt;
}

} // namespace lentiljunction
