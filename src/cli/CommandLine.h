#pragma once

#include "Command.h"
#include "lentiljunction/core/Failure.h"
#include "lentiljunction/settings/Settings.h"

#include <cxxopts.hpp>
#include <functional>
#include <optional>

namespace lentiljunction {

/// Parses the arguments of one subcommand, prints its help, and reports errors in one way.
class CommandLine {
public:
    /// @param name the subcommand's name
    /// @param summary one line
    CommandLine(const std::string& name, const std::string& summary);

    /// @returns the options, to be added to before parse
    cxxopts::Options& getOptions() { return this->options; }

    /// Adds --store, the address of the platform's store.
    void addStoreOption();

    /// Parses and runs.
    ///
    /// @param arguments the command line after the name
    /// @param action does the work with the parsed options
    /// @returns the exit code
    int run(const std::vector<std::string>& arguments, const std::function<int(const cxxopts::ParseResult&)>& action);

private:
    cxxopts::Options options;
};

/// Prints a failure to the error stream.
///
/// @returns the exit code that belongs to its kind
int reportFailure(const Failure& failure);

/// @returns the file's text, or nothing with the reason in `failure`
std::optional<std::string> readFile(const std::string& path, Failure& failure);

/// Writes a file that only its owner may read.
bool writePrivateFile(const std::string& path, const std::string& text, Failure& failure);

} // namespace lentiljunction
