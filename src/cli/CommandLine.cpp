#include "CommandLine.h"

#include "lentiljunction/core/ProcessEnd.h"

#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>

namespace lentiljunction {

CommandLine::CommandLine(const std::string& name, const std::string& summary)
    : options("lentiljunction " + name, summary)
{
    this->options.add_options()("help", "print this text");
}

void CommandLine::addStoreOption()
{
    this->options.add_options()("store", "address:port of the platform's store", cxxopts::value<std::string>()->default_value("127.0.0.1:7000"));
}

int CommandLine::run(const std::vector<std::string>& arguments, const std::function<int(const cxxopts::ParseResult&)>& action)
{
    std::vector<const char*> rawArguments { "lentiljunction" };
    for (const std::string& argument : arguments)
        rawArguments.push_back(argument.c_str());

    try {
        cxxopts::ParseResult parsed = this->options.parse(static_cast<int>(rawArguments.size()), rawArguments.data());
        if (parsed.count("help") > 0) {
            std::cout << this->options.help();
            return exitcodes::ok;
        }
        return action(parsed);
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "error: " << error.what() << "\n"
                  << this->options.help();
        return exitcodes::usage;
    } catch (const nlohmann::json::exception& error) {
        // A document of the store, of an instance or of a file has a field of an unexpected type.
        std::cerr << "error: a document cannot be read: " << error.what() << "\n";
        ProcessEnd::reportExit(EndCause::Failure, exitcodes::failed, error.what());
        return exitcodes::failed;
    }
}

int reportFailure(const Failure& failure)
{
    std::cerr << "error: " << failure.reason << "\n";
    switch (failure.kind) {
    case Failure::Kind::InvalidInput:
        return exitcodes::usage;
    case Failure::Kind::Conflict:
        return exitcodes::conflict;
    case Failure::Kind::Unavailable:
        return exitcodes::unavailable;
    case Failure::Kind::InDoubt:
        return exitcodes::inDoubt;
    default:
        return exitcodes::failed;
    }
}

std::optional<std::string> readFile(const std::string& path, Failure& failure)
{
    std::ifstream stream(path);
    if (!stream) {
        failure.set(Failure::Kind::InvalidInput, path + ": cannot be opened");
        return std::nullopt;
    }
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

bool writePrivateFile(const std::string& path, const std::string& text, Failure& failure)
{
    int descriptor = ::open(path.c_str(), O_CREAT | O_EXCL | O_WRONLY, S_IRUSR | S_IWUSR);
    if (descriptor < 0) {
        failure.set(Failure::Kind::InvalidInput, path + ": exists already or cannot be created");
        return false;
    }
    bool isWritten = ::write(descriptor, text.data(), text.size()) == static_cast<ssize_t>(text.size());
    ::close(descriptor);
    if (!isWritten)
        failure.set(Failure::Kind::Unavailable, path + ": cannot be written");
    return isWritten;
}

} // namespace lentiljunction
