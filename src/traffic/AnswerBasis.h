#pragma once

#include "lentiljunction/core/Ids.h"

#include <cstdint>
#include <string>

namespace lentiljunction {

/// On what the acknowledgement of a statement rests, as decided when its reply was classified.
struct AnswerBasis {
    enum class Kind {
        /// Nothing shows that the upstream was still the primary.
        None,
        /// The lease on the primary record covered the group.
        Lease,
        /// The upstreams of the group were asked after the reply.
        Verification,
        /// A replica answered with data that is fresh enough.
        Replica,
    };

    Kind kind = Kind::None;
    /// The generation in which the upstream was used as the primary; for a replica, the known one.
    std::uint64_t generation = 0;
    /// The revision of the primary record in use.
    StoreVersion revision;
};

/// @returns the name for the log
inline const char* toString(AnswerBasis::Kind kind)
{
    switch (kind) {
    case AnswerBasis::Kind::None:
        return "none";
    case AnswerBasis::Kind::Lease:
        return "lease";
    case AnswerBasis::Kind::Verification:
        return "verification";
    case AnswerBasis::Kind::Replica:
        return "replica";
    }
    return "none";
}

/// @returns the fields for the log, each after a space
inline std::string describe(const AnswerBasis& basis)
{
    return std::string(" basis=") + toString(basis.kind) + " generation=" + std::to_string(basis.generation) + " basis_revision=" + std::to_string(basis.revision.value());
}

} // namespace lentiljunction
