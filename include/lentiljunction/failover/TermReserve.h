#pragma once

#include "lentiljunction/core/Ids.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace lentiljunction {

/// Terms that this instance alone may use to promote an upstream of one group.
///
/// The store's record of the group hands out blocks of terms by conditional update. A block is
/// reserved before it is needed, so that a promotion needs no store. A term is given out once.
///
/// Belongs to the control thread.
///
/// @see TermRecord, Promotion
class TermReserve {
public:
    /// Takes a block granted by the store.
    ///
    /// @param first the first term of the block
    /// @param last the last term of the block
    void add(Term first, Term last);

    /// @param above the highest term seen at any upstream
    /// @returns an unused term above it, used up by this call, or nothing
    std::optional<Term> take(Term above);

    /// @param above the highest term seen at any upstream
    /// @returns how many terms above it are left
    std::size_t getNumUsable(Term above) const;

private:
    Term next { 1 };
    Term last;
};

/// The record of one group in the store that hands out terms.
///
/// @see TermReserve
struct TermRecord {
    /// One block that was handed out.
    struct Grant {
        std::string nonce;
        Term first;
        Term last;
    };

    /// The first term not handed out yet.
    Term nextTerm { 2 };
    /// The latest grants, so that a requester whose answer was lost finds its own.
    std::vector<Grant> grants;

    /// @param nonce names the request
    /// @param above the block must lie above this term
    /// @returns the block, also when this request was granted before
    Grant grant(const std::string& nonce, Term above);

    /// @returns the grant of a request, or nothing
    std::optional<Grant> find(const std::string& nonce) const;
};

/// @returns the record as stored
nlohmann::json toJson(const TermRecord& record);

/// @returns the record read from JSON, or nothing when it is malformed
std::optional<TermRecord> parseTermRecord(const nlohmann::json& document);

} // namespace lentiljunction
