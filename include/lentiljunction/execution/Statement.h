#pragma once

#include <string>
#include <vector>

namespace lentiljunction {

/// The kind of a statement, as needed for routing.
enum class StatementKind {
    /// Only reads; may run on a replica.
    Read,
    /// May write; runs on the primary.
    Write,
    /// Begins or ends a transaction; not allowed, because callers use the request's transaction field instead.
    TransactionControl,
    /// Contains more than one statement, or none.
    Malformed,
};

/// @param sql one statement; a trailing semicolon is allowed
/// @returns its kind, by its first keyword; a statement that is not known to only read counts as a write
StatementKind classifyStatement(const std::string& sql);

/// @returns the text as an SQL string literal
std::string quoteLiteral(const std::string& text);

/// @returns the statements as one batch
std::string joinStatements(const std::vector<std::string>& statements);

/// @returns the text without trailing white space and semicolons
std::string trimStatement(const std::string& sql);

} // namespace lentiljunction
