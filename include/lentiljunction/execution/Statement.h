#pragma once

#include <string>
#include <vector>

namespace lentiljunction {

/// What a statement does, as far as routing needs to know.
enum class StatementKind {
    /// Only reads; may run on a replica.
    Read,
    /// May write; runs on the primary.
    Write,
    /// Begins or ends a transaction; callers use the request's transaction field instead.
    TransactionControl,
    /// Holds more than one statement, or none.
    Malformed,
};

/// @param sql one statement; a trailing semicolon is allowed
/// @returns its kind, judged by its first word; everything not known to read counts as a write
StatementKind classifyStatement(const std::string& sql);

/// @returns the text as an SQL string literal
std::string quoteLiteral(const std::string& text);

/// @returns the statements as one batch
std::string joinStatements(const std::vector<std::string>& statements);

/// @returns the text without white space and semicolons at its end
std::string trimStatement(const std::string& sql);

} // namespace lentiljunction
