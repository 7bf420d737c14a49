#pragma once

#include "lentiljunction/core/Ids.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace lentiljunction {

/// The terms that are reserved for this instance to promote an upstream of one group.
///
/// Blocks of terms are allocated from the group's record in the store by conditional update. A block is
/// reserved before it is needed, so that a promotion does not depend on the store. Each term is handed
/// out once.
///
/// Not thread-safe; the control thread owns it.
///
/// @see TermRecord, Promotion
class TermReserve {
public:
    /// Adds a block that was allocated from the store.
    ///
    /// @param first the first term of the block
    /// @param last the last term of the block
    void add(Term first, Term last);

    /// Takes a term from the reserve.
    ///
    /// @param above the highest term known of any upstream
    /// @returns an unused term above it, or nothing
    std::optional<Term> take(Term above);

    /// @param above the highest term known of any upstream
    /// @returns the number of unused terms above it
    std::size_t getNumUsable(Term above) const;

private:
    Term next { 1 };
    Term last;
};

/// The record of one group in the store from which terms are allocated.
///
/// @see TermReserve
struct TermRecord {
    /// An allocated block of terms.
    struct Grant {
        std::string nonce;
        Term first;
        Term last;
    };

    /// The first term that is not allocated yet.
    Term nextTerm { 2 };
    /// The latest grants, in which a requester finds its own block after a lost response.
    std::vector<Grant> grants;

    /// Allocates a block. Idempotent: a repeated request gets the same block.
    ///
    /// @param nonce identifies the request
    /// @param above the block must lie above this term
    /// @returns the block
    Grant grant(const std::string& nonce, Term above);

    /// @returns the grant of a request, or nothing
    std::optional<Grant> find(const std::string& nonce) const;
};

/// @returns the record in its stored form
nlohmann::json toJson(const TermRecord& record);

/// @returns the record read from JSON, or nothing when it is malformed
std::optional<TermRecord> parseTermRecord(const nlohmann::json& document);

} // namespace lentiljunction
