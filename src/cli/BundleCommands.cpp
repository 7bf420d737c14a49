#include "BundleCommands.h"

#include "../store/HttpPlatformStore.h"
#include "CommandLine.h"
#include "lentiljunction/audit/AuditTrail.h"
#include "lentiljunction/bundle/BundleAdmin.h"
#include "lentiljunction/bundle/Signing.h"
#include "lentiljunction/core/Json.h"

#include <functional>
#include <iostream>
#include <unistd.h>
#include <utility>

namespace lentiljunction {

namespace {

    /// A command that accesses the store at the address, and with the trusted operators, of a settings file.
    class StoreCommand : public Command {
    public:
        using Action = std::function<int(const cxxopts::ParseResult& parsed, PlatformStore& store, BundleAdmin& office)>;
        using AddOptions = std::function<void(cxxopts::Options& options)>;

        StoreCommand(std::string name, std::string summary, AddOptions addOptions, Action action)
            : name(std::move(name))
            , summary(std::move(summary))
            , addOptions(std::move(addOptions))
            , action(std::move(action))
        {
        }

        std::string getName() const override { return this->name; }
        std::string getSummary() const override { return this->summary; }

        int run(const std::vector<std::string>& arguments) override
        {
            CommandLine line(this->name, this->summary);
            line.getOptions().add_options()("settings", "an instance's INI file, for the store's address and the trusted operators", cxxopts::value<std::string>());
            line.getOptions().add_options()("json", "print JSON");
            this->addOptions(line.getOptions());
            return line.run(arguments, [this](const cxxopts::ParseResult& parsed) { return this->runParsed(parsed); });
        }

    private:
        int runParsed(const cxxopts::ParseResult& parsed)
        {
            Failure failure;
            std::optional<Settings> settings = loadSettings(parsed["settings"].as<std::string>(), failure);
            if (!settings)
                return reportFailure(failure);

            HttpPlatformStore store(settings->store, "zone=" + settings->zone.toString() + ";instance=operator", nullptr);
            BundleAdmin office(store, settings->trust);
            return this->action(parsed, store, office);
        }

        std::string name;
        std::string summary;
        AddOptions addOptions;
        Action action;
    };

    BundleVersion getVersion(const cxxopts::ParseResult& parsed)
    {
        return BundleVersion(parsed["version"].as<std::uint64_t>());
    }

    void addVersionOption(cxxopts::Options& options)
    {
        options.add_options()("version", "the bundle's version", cxxopts::value<std::uint64_t>());
    }

    /// Prints a result as a line of text, or as JSON with --json.
    void print(const cxxopts::ParseResult& parsed, const nlohmann::json& document, const std::string& line)
    {
        if (parsed.count("json") > 0)
            std::cout << toJsonText(document) << "\n";
        else
            std::cout << line << "\n";
    }

    /// Writes an audit record of an operator's command. A failed write prints a warning only.
    void recordChange(PlatformStore& store, AuditKind kind, const std::string& actor, BundleVersion version)
    {
        SystemClock clock;
        AuditRecord record { clock.wallNow(), kind, actor, "bundle", "operator's command", "", std::to_string(version.value()) };
        std::string key = storekeys::audit + std::to_string(toUnixMilliseconds(record.time)) + "-" + actor + "-" + std::to_string(::getpid());
        Failure failure;
        if (!putOnce(store, key, toJsonText(nlohmann::json::array({ toJson(record) })), failure))
            std::cerr << "warning: the audit record was not written: " << failure.reason << "\n";
    }

    std::string getOperatorName(const cxxopts::ParseResult& parsed)
    {
        return parsed["operator"].as<std::string>();
    }

    void addOperatorOption(cxxopts::Options& options)
    {
        options.add_options()("operator", "the operator's name, for approvals and the audit trail", cxxopts::value<std::string>());
    }

    int createBundle(const cxxopts::ParseResult& parsed, PlatformStore& store, BundleAdmin& office)
    {
        Failure failure;
        std::optional<std::string> text = readFile(parsed["file"].as<std::string>(), failure);
        if (!text)
            return reportFailure(failure);

        nlohmann::json document = parseJson(*text);
        if (document.is_discarded()) {
            failure.set(Failure::Kind::InvalidInput, parsed["file"].as<std::string>() + ": is not JSON");
            return reportFailure(failure);
        }
        std::optional<BundleVersion> version = office.create(document, failure);
        if (!version)
            return reportFailure(failure);
        recordChange(store, AuditKind::BundleCreated, getOperatorName(parsed), *version);
        print(parsed, { { "version", version->value() } }, "created version " + std::to_string(version->value()));
        return exitcodes::ok;
    }

    int approveBundle(const cxxopts::ParseResult& parsed, PlatformStore& store, BundleAdmin& office)
    {
        Failure failure;
        std::optional<std::string> key = readFile(parsed["key"].as<std::string>(), failure);
        if (!key)
            return reportFailure(failure);
        while (!key->empty() && key->back() == '\n')
            key->pop_back();

        BundleVersion version = getVersion(parsed);
        if (!office.approve(version, getOperatorName(parsed), *key, failure))
            return reportFailure(failure);
        recordChange(store, AuditKind::BundleApproved, getOperatorName(parsed), version);
        print(parsed, { { "approved", version.value() } }, "approved version " + std::to_string(version.value()));
        return exitcodes::ok;
    }

    int rollBundle(const cxxopts::ParseResult& parsed, PlatformStore& store, BundleAdmin& office)
    {
        Failure failure;
        BundleVersion version = getVersion(parsed);
        if (!office.roll(version, failure))
            return reportFailure(failure);
        recordChange(store, AuditKind::BundleRolled, getOperatorName(parsed), version);
        print(parsed, { { "rolled", version.value() } }, "version " + std::to_string(version.value()) + " was rolled out");
        return exitcodes::ok;
    }

    int showProgress(const cxxopts::ParseResult& parsed, PlatformStore&, BundleAdmin& office)
    {
        Failure failure;
        std::optional<BundleAdmin::Progress> progress = office.getProgress(getVersion(parsed), failure);
        if (!progress)
            return reportFailure(failure);

        nlohmann::json document { { "version", progress->version.value() }, { "approved_by", progress->approvedBy }, { "threshold", progress->threshold }, { "in_force", progress->isInForce } };
        std::string line = "version " + std::to_string(progress->version.value()) + ": " + std::to_string(progress->approvedBy.size()) + " of " + std::to_string(progress->threshold)
            + " approvals" + (progress->isInForce ? ", in force" : "");
        print(parsed, document, line);
        return exitcodes::ok;
    }

    int showDifference(const cxxopts::ParseResult& parsed, PlatformStore&, BundleAdmin& office)
    {
        Failure failure;
        std::optional<std::string> proposed = office.getText(getVersion(parsed), failure);
        if (!proposed)
            return reportFailure(failure);

        nlohmann::json before = nlohmann::json::object();
        std::optional<SignedBundle> current = office.getCurrent(failure);
        if (current)
            before = parseJson(current->text);
        else if (failure.kind != Failure::Kind::NotFound)
            return reportFailure(failure);

        nlohmann::json difference = nlohmann::json::diff(before, parseJson(*proposed));
        if (parsed.count("json") > 0) {
            std::cout << toJsonText(difference) << "\n";
            return exitcodes::ok;
        }
        for (const nlohmann::json& change : difference)
            std::cout << change.at("op").get<std::string>() << " " << change.at("path").get<std::string>() << " " << toJsonText(change.value("value", nlohmann::json())) << "\n";
        return exitcodes::ok;
    }

    int showAudit(const cxxopts::ParseResult& parsed, PlatformStore& store, BundleAdmin&)
    {
        Failure failure;
        std::optional<std::vector<std::string>> keys = store.list(storekeys::audit, failure);
        if (!keys)
            return reportFailure(failure);

        std::string wanted = parsed["kind"].as<std::string>();
        for (const std::string& key : *keys) {
            std::optional<StoreObject> object = store.get(key, failure);
            if (!object)
                return reportFailure(failure);
            for (const nlohmann::json& record : parseJson(object->value)) {
                if (!wanted.empty() && record.value("kind", "") != wanted)
                    continue;
                std::string line = std::to_string(record.value("time_ms", std::int64_t(0))) + " " + record.value("kind", "") + " " + record.value("actor", "") + " " + record.value("subject", "")
                    + ": \"" + record.value("before", "") + "\" -> \"" + record.value("after", "") + "\" (" + record.value("reason", "") + ")";
                print(parsed, record, line);
            }
        }
        return exitcodes::ok;
    }

    class KeysCommand : public Command {
    public:
        std::string getName() const override { return "keys create"; }
        std::string getSummary() const override { return "create an operator's key pair"; }

        int run(const std::vector<std::string>& arguments) override
        {
            CommandLine line(this->getName(), this->getSummary());
            line.getOptions().add_options()("out", "file for the private key; must not exist", cxxopts::value<std::string>());
            return line.run(arguments, [](const cxxopts::ParseResult& parsed) {
                Failure failure;
                KeyPair pair = createKeyPair();
                if (!writePrivateFile(parsed["out"].as<std::string>(), pair.privateKey + "\n", failure))
                    return reportFailure(failure);
                std::cout << pair.publicKey << "\n";
                return exitcodes::ok;
            });
        }
    };

} // namespace

std::vector<std::unique_ptr<Command>> makeBundleCommands()
{
    std::vector<std::unique_ptr<Command>> commands;
    commands.push_back(std::make_unique<KeysCommand>());
    commands.push_back(std::make_unique<StoreCommand>(
        "bundle create", "propose a bundle", [](cxxopts::Options& options) {
            options.add_options()("file", "the bundle's JSON file", cxxopts::value<std::string>());
            addOperatorOption(options); }, createBundle));
    commands.push_back(std::make_unique<StoreCommand>(
        "bundle approve", "approve a proposed bundle", [](cxxopts::Options& options) {
            options.add_options()("key", "the operator's private key file", cxxopts::value<std::string>());
            addVersionOption(options);
            addOperatorOption(options); }, approveBundle));
    commands.push_back(std::make_unique<StoreCommand>(
        "bundle roll", "put an approved bundle in force", [](cxxopts::Options& options) {
            addVersionOption(options);
            addOperatorOption(options); }, rollBundle));
    commands.push_back(std::make_unique<StoreCommand>("bundle status", "show the approvals of a bundle", addVersionOption, showProgress));
    commands.push_back(std::make_unique<StoreCommand>("bundle diff", "show what a bundle would change", addVersionOption, showDifference));
    commands.push_back(std::make_unique<StoreCommand>(
        "audit", "show recorded changes", [](cxxopts::Options& options) { options.add_options()("kind", "only this kind", cxxopts::value<std::string>()->default_value("")); }, showAudit));
    return commands;
}

} // namespace lentiljunction
