#pragma once

#include <string>

namespace lentiljunction {

/// Why an operation that returned an empty std::optional (or false) gave nothing.
///
/// Functions that can fail take a Failure by reference and fill it before they return empty.
///
/// @code
/// Failure failure;
/// std::optional<Settings> settings = loadSettings(path, failure);
/// if (!settings)
///     std::cerr << failure.reason;
/// @endcode
struct Failure {
    /// The kind of failure, for code that decides by it.
    enum class Kind {
        None,
        InvalidInput,
        NotFound,
        Conflict,
        Unavailable,
        InDoubt,
    };

    Kind kind = Kind::None;
    /// One sentence for a person.
    std::string reason;

    /// Fills both fields.
    void set(Kind newKind, std::string newReason)
    {
        this->kind = newKind;
        this->reason = std::move(newReason);
    }
};

} // namespace lentiljunction
