#pragma once

#include <string>

namespace lentiljunction {

/// Why an operation failed that returned an empty std::optional or false.
///
/// Functions that can fail take a Failure by reference and set it before they return.
///
/// @code
/// Failure failure;
/// std::optional<Settings> settings = loadSettings(path, failure);
/// if (!settings)
///     std::cerr << failure.reason;
/// @endcode
struct Failure {
    /// The kind of failure, for error handling in code.
    enum class Kind {
        None,
        InvalidInput,
        NotFound,
        Conflict,
        Unavailable,
        InDoubt,
    };

    Kind kind = Kind::None;
    /// A sentence for logs and users.
    std::string reason;
    /// Whether the failure is a response of the other side. Otherwise it may be out of reach.
    bool isResponse = false;

    /// Sets both fields.
    void set(Kind newKind, std::string newReason)
    {
        this->kind = newKind;
        this->reason = std::move(newReason);
    }
};

} // namespace lentiljunction
