#include "InstanceCommands.h"

#include "../server/Instance.h"
#include "CommandLine.h"
#include "GatewayServe.h"
#include "SettingsWait.h"
#include "StandardDescriptors.h"
#include "lentiljunction/bundle/SignedBundle.h"
#include "lentiljunction/core/Json.h"
#include "lentiljunction/core/LogEvents.h"
#include "lentiljunction/core/ProcessEnd.h"
#include "lentiljunction/core/Threads.h"

#include <csignal>
#include <httplib.h>
#include <iostream>
#include <pthread.h>

namespace lentiljunction {

namespace {

    constexpr const char* programVersion = "0.1.0";
    constexpr std::chrono::milliseconds statusTimeout { 3000 };
    constexpr int httpOk = 200;

    void blockStopSignals(sigset_t& signals)
    {
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
    }

    class ServeCommand : public Command {
    public:
        explicit ServeCommand(const GatewayAdapter& adapter)
            : adapter(adapter)
        {
        }

        std::string getName() const override { return "serve"; }
        std::string getSummary() const override { return "run an instance"; }

        int run(const std::vector<std::string>& arguments) override
        {
            CommandLine line(this->getName(), this->getSummary());
            line.getOptions().add_options()("settings", "the instance's INI file", cxxopts::value<std::string>());
            return line.run(arguments, [this](const cxxopts::ParseResult& parsed) { return this->serve(parsed["settings"].as<std::string>()); });
        }

    private:
        int serve(const std::string& path)
        {
            openStandardDescriptors();
            ProcessEnd::install();
            setThreadStackSize();
            Failure failure;
            int exitCode = this->runInstance(path, failure);
            ProcessEnd::reportExit(toEndCause(exitCode), exitCode, failure.reason);
            return exitCode;
        }

        static EndCause toEndCause(int exitCode)
        {
            switch (exitCode) {
            case exitcodes::ok:
                return EndCause::Stopped;
            case exitcodes::usage:
                return EndCause::Settings;
            case exitcodes::unavailable:
                return EndCause::Port;
            default:
                return EndCause::Failure;
            }
        }

        int runInstance(const std::string& path, Failure& failure)
        {
            if (!waitForSettings(path))
                return exitcodes::ok;
            if (isGatewayFile(path))
                return serveGateway(path, this->adapter, failure);
            std::optional<Settings> settings = loadSettings(path, failure);
            if (!settings)
                return reportFailure(failure);

            sigset_t signals;
            blockStopSignals(signals);
            initialiseLog(settings->instance.toString());
            logEvent(events::instanceStarting, "zone=" + settings->zone.toString() + " settings=" + path);
            SystemClock clock;
            Instance instance(*settings, clock);
            if (!instance.start(failure)) {
                logEvent(events::portUnavailable, "reason=\"" + failure.reason + "\"");
                return reportFailure(failure);
            }

            int received = 0;
            sigwait(&signals, &received);
            return instance.drain() ? exitcodes::ok : exitcodes::failed;
        }

        const GatewayAdapter& adapter;
    };

    class CheckCommand : public Command {
    public:
        std::string getName() const override { return "check"; }
        std::string getSummary() const override { return "check settings and bundle files without starting an instance"; }

        int run(const std::vector<std::string>& arguments) override
        {
            CommandLine line(this->getName(), this->getSummary());
            line.getOptions().add_options()("settings", "an instance's INI file", cxxopts::value<std::string>());
            line.getOptions().add_options()("bundle", "a bundle's JSON file", cxxopts::value<std::string>());
            return line.run(arguments, [this](const cxxopts::ParseResult& parsed) { return this->check(parsed); });
        }

    private:
        int check(const cxxopts::ParseResult& parsed)
        {
            if (parsed.count("settings") + parsed.count("bundle") == 0) {
                std::cerr << "error: give --settings, --bundle or both\n";
                return exitcodes::usage;
            }
            int code = exitcodes::ok;
            if (parsed.count("settings") > 0)
                code = this->checkSettings(parsed["settings"].as<std::string>());
            if (parsed.count("bundle") > 0)
                code = std::max(code, this->checkBundle(parsed["bundle"].as<std::string>()));
            return code;
        }

        int checkSettings(const std::string& path)
        {
            Failure failure;
            bool isValid = isGatewayFile(path) ? loadGatewaySettings(path, failure).has_value() : loadSettings(path, failure).has_value();
            if (!isValid)
                return reportFailure(failure);
            std::cout << path << ": ok\n";
            return exitcodes::ok;
        }

        int checkBundle(const std::string& path)
        {
            Failure failure;
            std::optional<std::string> text = readFile(path, failure);
            if (!text)
                return reportFailure(failure);
            if (!parseBundle(parseJson(*text), failure))
                return reportFailure(failure);
            std::cout << path << ": ok\n";
            return exitcodes::ok;
        }
    };

    class StatusCommand : public Command {
    public:
        std::string getName() const override { return "status"; }
        std::string getSummary() const override { return "show the state of an instance"; }

        int run(const std::vector<std::string>& arguments) override
        {
            CommandLine line(this->getName(), this->getSummary());
            line.getOptions().add_options()("instance", "address:port for callers", cxxopts::value<std::string>()->default_value("127.0.0.1:8080"));
            line.getOptions().add_options()("json", "print JSON");
            return line.run(arguments, [this](const cxxopts::ParseResult& parsed) { return this->show(parsed["instance"].as<std::string>(), parsed.count("json") > 0); });
        }

    private:
        int show(const std::string& address, bool asJson)
        {
            Failure failure;
            std::optional<Endpoint> endpoint = parseEndpoint(address, failure);
            if (!endpoint)
                return reportFailure(failure);

            httplib::Client client(endpoint->host, endpoint->port);
            client.set_connection_timeout(statusTimeout);
            client.set_read_timeout(statusTimeout);
            httplib::Result result = client.Get("/v1/status");
            if (!result || result->status != httpOk) {
                failure.set(Failure::Kind::Unavailable, "the instance at " + address + " does not answer");
                return reportFailure(failure);
            }
            if (asJson)
                std::cout << result->body;
            else
                this->print(parseJson(result->body));
            return exitcodes::ok;
        }

        void print(const nlohmann::json& state)
        {
            std::cout << "instance " << state.at("instance").get<std::string>() << " in zone " << state.at("zone").get<std::string>()
                      << (state.at("ready").get<bool>() ? ", ready" : ", not ready") << ", bundle " << state.at("bundle_version")
                      << (state.at("store_reached").get<bool>() ? "" : ", store not reached") << "\n";
            for (const nlohmann::json& member : state.at("members"))
                std::cout << "  member " << member.at("id").get<std::string>() << " in " << member.at("zone").get<std::string>() << " " << member.at("state").get<std::string>() << "\n";
            for (const nlohmann::json& upstream : state.at("gate_of"))
                std::cout << "  gate of " << upstream.get<std::string>() << "\n";
            for (nlohmann::json::const_iterator group = state.at("groups").begin(); group != state.at("groups").end(); ++group)
                std::cout << "  group " << group.key() << " primary " << group.value().value("primary", "not known") << " term " << group.value().value("term", 0) << "\n";
        }
    };

    class VersionCommand : public Command {
    public:
        std::string getName() const override { return "version"; }
        std::string getSummary() const override { return "print the version"; }

        int run(const std::vector<std::string>& arguments) override
        {
            CommandLine line(this->getName(), this->getSummary());
            return line.run(arguments, [](const cxxopts::ParseResult&) {
                std::cout << "lentiljunction " << programVersion << "\n";
                return exitcodes::ok;
            });
        }
    };

} // namespace

std::vector<std::unique_ptr<Command>> makeInstanceCommands(const GatewayAdapter& adapter)
{
    std::vector<std::unique_ptr<Command>> commands;
    commands.push_back(std::make_unique<ServeCommand>(adapter));
    commands.push_back(std::make_unique<CheckCommand>());
    commands.push_back(std::make_unique<StatusCommand>());
    commands.push_back(std::make_unique<VersionCommand>());
    return commands;
}

} // namespace lentiljunction
