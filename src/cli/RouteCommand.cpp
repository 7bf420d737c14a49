#include "RouteCommand.h"
#include "lentiljunction/core/Json.h"

#include "../gateway/RouteExplanationCodec.h"
#include "CommandLine.h"
#include "RouteText.h"

#include <httplib.h>
#include <iostream>

namespace lentiljunction {

namespace {

    constexpr std::chrono::milliseconds answerTimeout { 3000 };
    constexpr int httpOk = 200;
    constexpr int httpBadRequest = 400;
    constexpr int httpNotFound = 404;

    Failure::Kind chooseKind(int status)
    {
        if (status == httpNotFound)
            return Failure::Kind::NotFound;
        return status == httpBadRequest ? Failure::Kind::InvalidInput : Failure::Kind::Unavailable;
    }

    class RouteCommand : public Command {
    public:
        std::string getName() const override { return "route"; }
        std::string getSummary() const override { return "show where a statement would go now and why, without sending it"; }

        int run(const std::vector<std::string>& arguments) override
        {
            CommandLine line(this->getName(), this->getSummary());
            cxxopts::OptionAdder add = line.getOptions().add_options();
            add("instance", "address:port of the instance's metrics (metrics.listen)", cxxopts::value<std::string>());
            add("database", "the database of the session", cxxopts::value<std::string>());
            add("workspace", "the workspace of the session", cxxopts::value<std::string>());
            add("statement", "read, write, begin or begin-read", cxxopts::value<std::string>()->default_value("read"));
            add("json", "print JSON");
            return line.run(arguments, [](const cxxopts::ParseResult& parsed) { return ask(parsed); });
        }

    private:
        static int ask(const cxxopts::ParseResult& parsed)
        {
            Failure failure;
            for (const char* name : { "instance", "database" }) {
                if (parsed.count(name) > 0 && !parsed[name].as<std::string>().empty())
                    continue;
                failure.set(Failure::Kind::InvalidInput, std::string("give --") + name);
                return reportFailure(failure);
            }
            if (!parsed.unmatched().empty()) {
                failure.set(Failure::Kind::InvalidInput, "unexpected argument " + parsed.unmatched().front());
                return reportFailure(failure);
            }
            if (!parseRouteQuestionKind(parsed["statement"].as<std::string>())) {
                failure.set(Failure::Kind::InvalidInput, "--statement must be read, write, begin or begin-read");
                return reportFailure(failure);
            }
            std::optional<nlohmann::json> answer = request(parsed, failure);
            if (!answer)
                return reportFailure(failure);
            std::cout << (parsed.count("json") > 0 ? answer->dump(2) + "\n" : formatRoute(*answer));
            return exitcodes::ok;
        }

        static std::optional<nlohmann::json> request(const cxxopts::ParseResult& parsed, Failure& failure)
        {
            std::string address = parsed["instance"].as<std::string>();
            std::optional<Endpoint> endpoint = parseEndpoint(address, failure);
            if (!endpoint)
                return std::nullopt;
            httplib::Client client(endpoint->host, endpoint->port);
            client.set_connection_timeout(answerTimeout);
            client.set_read_timeout(answerTimeout);
            httplib::Params parameters { { "database", parsed["database"].as<std::string>() }, { "statement", parsed["statement"].as<std::string>() } };
            if (parsed.count("workspace") > 0)
                parameters.emplace("workspace", parsed["workspace"].as<std::string>());
            httplib::Result result = client.Get(routeExplanationPath, parameters, httplib::Headers());
            if (!result) {
                failure.set(Failure::Kind::Unavailable, "the instance at " + address + " does not answer");
                return std::nullopt;
            }
            nlohmann::json answer = parseJson(result->body);
            // Other pages of an instance, and instances of older builds, answer any path with their own text.
            if (!answer.is_object() || !(answer.contains("decision") || answer.contains("error"))) {
                failure.set(Failure::Kind::Unavailable, address + " does not explain routes: it is not the metrics address of a gateway instance, or the instance's build is older");
                return std::nullopt;
            }
            if (result->status == httpOk)
                return answer;
            failure.set(chooseKind(result->status), answer.value("error", "the instance gave no reason"));
            return std::nullopt;
        }
    };

} // namespace

std::unique_ptr<Command> makeRouteCommand()
{
    return std::make_unique<RouteCommand>();
}

} // namespace lentiljunction
