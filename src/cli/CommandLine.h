#pragma once

#include "Command.h"
#include "lentiljunction/core/Failure.h"
#include "lentiljunction/settings/Settings.h"

#include <cxxopts.hpp>
#include <functional>
#include <optional>

namespace lentiljunction {

/// Parses the arguments of one subcommand, prints its help and reports invalid arguments.
class CommandLine {
public:
    /// @param name the subcommand's name
    /// @param summary a one-line description
    CommandLine(const std::string& name, const std::string& summary);

    /// @returns the options; add options before calling run
    cxxopts::Options& getOptions() { return this->options; }

    /// Adds --store, the address of the platform's store.
    void addStoreOption();

    /// Parses the arguments and runs the command.
    ///
    /// @param arguments the command line after the name
    /// @param action executes the command with the parsed options
    /// @returns one of exitcodes
    int run(const std::vector<std::string>& arguments, const std::function<int(const cxxopts::ParseResult&)>& action);

private:
    cxxopts::Options options;
};

/// Prints a failure to the standard error stream.
///
/// @returns the exit code for the kind of the failure
int reportFailure(const Failure& failure);

/// @returns the file's content, or nothing with the reason in `failure`
std::optional<std::string> readFile(const std::string& path, Failure& failure);

/// Creates a file that only its owner can read and write.
///
/// @returns false, with the reason in `failure`, also when the file exists
bool writePrivateFile(const std::string& path, const std::string& text, Failure& failure);

} // namespace lentiljunction
