#pragma once

#include <string>
#include <vector>

namespace lentiljunction {

class GatewayAdapter;

/// Exit codes of every command.
namespace exitcodes {
    constexpr int ok = 0;
    /// The command could not do its work.
    constexpr int failed = 1;
    /// The command line, a file or a setting is wrong.
    constexpr int usage = 2;
    /// Another operator was first.
    constexpr int conflict = 3;
    /// The store or the instance does not answer; nothing is known to have changed.
    constexpr int unavailable = 4;
    /// The store did not answer after it may have changed something.
    constexpr int inDoubt = 5;
} // namespace exitcodes

/// A subcommand of the program.
///
/// @see getCommands
class Command {
public:
    virtual ~Command() = default;

    /// @returns the word or two by which it is called, for example "bundle roll"
    virtual std::string getName() const = 0;

    /// @returns one line for the overview
    virtual std::string getSummary() const = 0;

    /// Runs the command.
    ///
    /// @param arguments what follows the name on the command line
    /// @returns an exit code of exitcodes
    virtual int run(const std::vector<std::string>& arguments) = 0;
};

/// Runs the program.
///
/// @param arguments the command line without the program's name
/// @param adapter the surroundings in which `serve` runs a gateway instance
/// @returns the exit code
int runProgram(const std::vector<std::string>& arguments, const GatewayAdapter& adapter);

} // namespace lentiljunction
