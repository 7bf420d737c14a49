#pragma once

#include <string>
#include <vector>

namespace lentiljunction {

class GatewayAdapter;

/// Exit codes of every command.
namespace exitcodes {
    constexpr int ok = 0;
    /// The command failed for a reason that no other code covers.
    constexpr int failed = 1;
    /// The command line, a file or a setting is invalid.
    constexpr int usage = 2;
    /// Another operator made a conflicting change first.
    constexpr int conflict = 3;
    /// The store or the instance does not respond; nothing was changed as far as known.
    constexpr int unavailable = 4;
    /// The store did not respond to a write, which may have taken effect.
    constexpr int inDoubt = 5;
} // namespace exitcodes

/// A subcommand of the program.
///
/// @see runProgram
class Command {
public:
    virtual ~Command() = default;

    /// @returns the one or two words that select the command, for example "bundle roll"
    virtual std::string getName() const = 0;

    /// @returns a one-line description for the list of commands
    virtual std::string getSummary() const = 0;

    /// Runs the command.
    ///
    /// @param arguments the command line after the command's name
    /// @returns one of exitcodes
    virtual int run(const std::vector<std::string>& arguments) = 0;
};

/// Runs the program.
///
/// @param arguments the command line without the program's name
/// @param adapter provides the protocol and the store for gateway instances; used by `serve`
/// @returns one of exitcodes
int runProgram(const std::vector<std::string>& arguments, const GatewayAdapter& adapter);

} // namespace lentiljunction
