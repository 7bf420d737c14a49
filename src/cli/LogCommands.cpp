#include "LogCommands.h"

#include "CommandLine.h"
#include "lentiljunction/logbook/FleetReport.h"
#include "lentiljunction/logbook/GroupHistory.h"
#include "lentiljunction/logbook/RequestHistory.h"

#include <fstream>
#include <iostream>

namespace lentiljunction {

namespace {

    /// Reads the log files, or standard input when no file is given.
    std::optional<LogCollection> readLogs(const std::vector<std::string>& paths, Failure& failure)
    {
        LogCollection collection;
        if (paths.empty())
            readLog(std::cin, collection);
        for (const std::string& path : paths) {
            std::ifstream stream(path);
            if (!stream) {
                failure.set(Failure::Kind::InvalidInput, path + ": cannot be opened");
                return std::nullopt;
            }
            readLog(stream, collection);
        }
        if (collection.records.empty()) {
            failure.set(Failure::Kind::InvalidInput, "no log record was found in " + std::to_string(collection.numUnrecognizedLines) + " lines");
            return std::nullopt;
        }
        sortByTime(collection);
        return collection;
    }

    class ExplainCommand : public Command {
    public:
        std::string getName() const override { return "explain"; }
        std::string getSummary() const override { return "follow one request, or the promotions of one group, through the logs of all instances"; }

        int run(const std::vector<std::string>& arguments) override
        {
            CommandLine line(this->getName(), this->getSummary());
            line.getOptions().add_options()("group", "follow this group instead of a request", cxxopts::value<std::string>());
            line.getOptions().add_options()("id", "the request's id", cxxopts::value<std::string>());
            line.getOptions().add_options()("logs", "log files (default: standard input)", cxxopts::value<std::vector<std::string>>()->default_value(""));
            line.getOptions().parse_positional({ "id", "logs" });
            line.getOptions().positional_help("ID [FILE...] | --group GROUP [FILE...]");
            return line.run(arguments, [](const cxxopts::ParseResult& parsed) { return explain(parsed); });
        }

    private:
        static int explainGroup(const cxxopts::ParseResult& parsed)
        {
            // Without an id, the first argument is a file.
            std::vector<std::string> paths;
            if (parsed.count("id") > 0)
                paths.push_back(parsed["id"].as<std::string>());
            if (parsed.count("logs") > 0) {
                const std::vector<std::string>& others = parsed["logs"].as<std::vector<std::string>>();
                paths.insert(paths.end(), others.begin(), others.end());
            }
            Failure failure;
            std::optional<LogCollection> collection = readLogs(paths, failure);
            if (!collection)
                return reportFailure(failure);
            GroupHistory history = GroupHistory::build(*collection, parsed["group"].as<std::string>());
            std::cout << history.render();
            return history.isEmpty() ? exitcodes::failed : exitcodes::ok;
        }

        static int explain(const cxxopts::ParseResult& parsed)
        {
            if (parsed.count("group") > 0)
                return explainGroup(parsed);
            if (parsed.count("id") == 0 || parsed["id"].as<std::string>().empty()) {
                std::cerr << "error: name the request's id, or a group with --group\n";
                return exitcodes::usage;
            }
            Failure failure;
            std::optional<LogCollection> collection = readLogs(parsed.count("logs") > 0 ? parsed["logs"].as<std::vector<std::string>>() : std::vector<std::string>(), failure);
            if (!collection)
                return reportFailure(failure);
            RequestHistory history = RequestHistory::build(*collection, parsed["id"].as<std::string>());
            std::cout << history.render();
            return history.isEmpty() ? exitcodes::failed : exitcodes::ok;
        }
    };

    class ReportCommand : public Command {
    public:
        std::string getName() const override { return "report"; }
        std::string getSummary() const override { return "summarize the logs of all instances as text or HTML"; }

        int run(const std::vector<std::string>& arguments) override
        {
            CommandLine line(this->getName(), this->getSummary());
            line.getOptions().add_options()("html", "write one HTML page to this file as well", cxxopts::value<std::string>());
            line.getOptions().add_options()("logs", "log files (default: standard input)", cxxopts::value<std::vector<std::string>>()->default_value(""));
            line.getOptions().parse_positional({ "logs" });
            line.getOptions().positional_help("[FILE...]");
            return line.run(arguments, [](const cxxopts::ParseResult& parsed) { return report(parsed); });
        }

    private:
        static int report(const cxxopts::ParseResult& parsed)
        {
            Failure failure;
            std::optional<LogCollection> collection = readLogs(parsed.count("logs") > 0 ? parsed["logs"].as<std::vector<std::string>>() : std::vector<std::string>(), failure);
            if (!collection)
                return reportFailure(failure);
            FleetReport report = FleetReport::build(*collection);
            std::cout << report.renderText();
            if (parsed.count("html") == 0)
                return exitcodes::ok;
            std::string path = parsed["html"].as<std::string>();
            std::ofstream page(path);
            page << renderHtml(report);
            page.close();
            if (!page) {
                failure.set(Failure::Kind::Unavailable, path + ": cannot be written");
                return reportFailure(failure);
            }
            return exitcodes::ok;
        }
    };

} // namespace

std::vector<std::unique_ptr<Command>> makeLogCommands()
{
    std::vector<std::unique_ptr<Command>> commands;
    commands.push_back(std::make_unique<ExplainCommand>());
    commands.push_back(std::make_unique<ReportCommand>());
    return commands;
}

} // namespace lentiljunction
