#include "BundleCommands.h"
#include "Command.h"
#include "InstanceCommands.h"
#include "LogCommands.h"
#include "RouteCommand.h"

#include <iostream>
#include <iterator>
#include <sstream>

namespace lentiljunction {

namespace {

    std::vector<std::unique_ptr<Command>> makeAllCommands(const GatewayAdapter& adapter)
    {
        std::vector<std::unique_ptr<Command>> commands = makeInstanceCommands(adapter);
        commands.push_back(makeRouteCommand());
        std::vector<std::unique_ptr<Command>> logCommands = makeLogCommands();
        commands.insert(commands.end(), std::make_move_iterator(logCommands.begin()), std::make_move_iterator(logCommands.end()));
        std::vector<std::unique_ptr<Command>> bundleCommands = makeBundleCommands();
        commands.insert(commands.end(), std::make_move_iterator(bundleCommands.begin()), std::make_move_iterator(bundleCommands.end()));
        return commands;
    }

    void printUsage(std::ostream& stream, const std::vector<std::unique_ptr<Command>>& commands)
    {
        stream << "lentiljunction: a database proxy with session consistency\n\nusage: lentiljunction COMMAND [--help] [options]\n\n";
        for (const std::unique_ptr<Command>& command : commands)
            stream << "  " << command->getName() << std::string(18 - command->getName().size(), ' ') << command->getSummary() << "\n";
    }

    /// @returns the number of words in the command's name, or zero when the arguments do not begin with it
    std::size_t countNameWords(const std::string& name, const std::vector<std::string>& arguments)
    {
        std::istringstream stream(name);
        std::string word;
        std::size_t count = 0;
        while (stream >> word) {
            if (count >= arguments.size() || arguments[count] != word)
                return 0;
            count++;
        }
        return count;
    }

} // namespace

int runProgram(const std::vector<std::string>& arguments, const GatewayAdapter& adapter)
{
    std::vector<std::unique_ptr<Command>> commands = makeAllCommands(adapter);
    for (const std::unique_ptr<Command>& command : commands) {
        std::size_t count = countNameWords(command->getName(), arguments);
        if (count > 0)
            return command->run({ arguments.begin() + static_cast<std::ptrdiff_t>(count), arguments.end() });
    }

    bool isHelp = !arguments.empty() && (arguments.front() == "--help" || arguments.front() == "help");
    printUsage(isHelp ? std::cout : std::cerr, commands);
    return isHelp ? exitcodes::ok : exitcodes::usage;
}

} // namespace lentiljunction
