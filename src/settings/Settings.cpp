#include "lentiljunction/settings/Settings.h"

#include "IniDocument.h"
#include "lentiljunction/core/JsonFields.h"

#include <regex>
#include <set>
#include <sstream>

namespace lentiljunction {

namespace {

    const std::set<std::string> knownKeys {
        "instance.id",
        "instance.zone",
        "callers.address",
        "callers.port",
        "peers.address",
        "peers.port",
        "peers.advertise_address",
        "peers.advertise_port",
        "store.address",
        "store.port",
        "traffic.workers",
        "drain.grace_ms",
        "drain.limit_ms",
        "trust.threshold",
    };

    /// Prefixes of keys that end with a name chosen by the operator.
    const std::string trustedKeyPrefix = "trust.key.";
    const std::string seedPrefix = "peers.seed.";
    const std::regex namePattern("[A-Za-z0-9][A-Za-z0-9_-]{0,62}");
    const std::regex addressPattern("([0-9]{1,3}\\.){3}[0-9]{1,3}|[0-9a-fA-F:]+");
    const std::regex publicKeyPattern("[0-9a-fA-F]{64}");
    const std::regex seedPattern("([A-Za-z0-9_-]+)@([0-9.]+|\\[[0-9a-fA-F:]+\\]):([0-9]{1,5})");

    /// Reads keys of an INI file and collects errors.
    class SettingsReader {
    public:
        SettingsReader(const std::string& path, const IniDocument& document, std::vector<std::string>& errors)
            : path(path)
            , document(document)
            , errors(errors)
        {
        }

        std::string getText(const std::string& section, const std::string& key, const std::regex& pattern, const std::string& allowed)
        {
            std::string value = this->document.find(section, key).value_or("");
            if (!std::regex_match(value, pattern))
                this->addError(section, key, value, allowed);
            return value;
        }

        std::int64_t getInteger(const std::string& section, const std::string& key, std::int64_t defaultValue, std::int64_t minimum, std::int64_t maximum)
        {
            std::string value = this->document.find(section, key).value_or(std::to_string(defaultValue));
            std::istringstream stream(value);
            std::int64_t number = 0;
            bool isInteger = (stream >> number) && stream.eof();
            if (!isInteger || number < minimum || number > maximum)
                this->addError(section, key, value, "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
            return number;
        }

        Endpoint getEndpoint(const std::string& section)
        {
            constexpr std::int64_t missingPort = 0;
            Endpoint endpoint;
            endpoint.host = this->getText(section, "address", addressPattern, "an IP address");
            endpoint.port = static_cast<std::uint16_t>(this->getInteger(section, "port", missingPort, 1, 65535));
            return endpoint;
        }

        void addError(const std::string& section, const std::string& key, const std::string& value, const std::string& allowed)
        {
            this->errors.push_back(this->path + " [" + section + "] " + key + " = \"" + value + "\": allowed is " + allowed);
        }

    private:
        const std::string& path;
        const IniDocument& document;
        std::vector<std::string>& errors;
    };

    void checkKnownKeys(const IniDocument& document, SettingsReader& reader)
    {
        std::set<std::string> seen;
        for (const IniDocument::Entry& entry : document.getEntries()) {
            const std::string qualifiedKey = entry.section + "." + entry.key;
            bool isNamedEntry = qualifiedKey.rfind(trustedKeyPrefix, 0) == 0 || qualifiedKey.rfind(seedPrefix, 0) == 0;
            if (knownKeys.count(qualifiedKey) == 0 && !isNamedEntry)
                reader.addError(entry.section, entry.key, entry.value, "no key of this name");
            if (!seen.insert(qualifiedKey).second)
                reader.addError(entry.section, entry.key, entry.value, "one value only, but the key stands twice");
        }
    }

    std::vector<SeedPeer> readSeeds(const IniDocument& document, SettingsReader& reader)
    {
        constexpr unsigned long maximumPort = 65535;
        std::vector<SeedPeer> seeds;
        for (const IniDocument::Entry& entry : document.getEntries()) {
            if (entry.section != "peers" || entry.key.rfind("seed.", 0) != 0)
                continue;

            std::smatch match;
            if (!std::regex_match(entry.value, match, seedPattern) || std::stoul(match[3]) > maximumPort) {
                reader.addError(entry.section, entry.key, entry.value, "zone@address:port");
                continue;
            }
            Endpoint endpoint { match[2], static_cast<std::uint16_t>(std::stoul(match[3])) };
            seeds.push_back({ InstanceId(entry.key.substr(5)), ZoneId(match[1]), endpoint });
        }
        return seeds;
    }

    OperatorSet readTrust(const IniDocument& document, SettingsReader& reader)
    {
        OperatorSet trust;
        trust.threshold = static_cast<int>(reader.getInteger("trust", "threshold", 1, 1, 100));
        for (const IniDocument::Entry& entry : document.getEntries()) {
            if (entry.section != "trust" || entry.key.rfind("key.", 0) != 0)
                continue;
            trust.keys[entry.key.substr(4)] = reader.getText("trust", entry.key, publicKeyPattern, "an Ed25519 public key of 64 hexadecimal digits");
        }

        if (static_cast<std::size_t>(trust.threshold) > trust.keys.size())
            reader.addError("trust", "threshold", std::to_string(trust.threshold), "at most the number of key.NAME entries");
        return trust;
    }

} // namespace

std::optional<Settings> loadSettings(const std::string& path, Failure& failure)
{
    IniDocument document;
    int malformedLine = document.read(path);
    if (malformedLine < 0) {
        failure.set(Failure::Kind::InvalidInput, path + ": cannot be opened");
        return std::nullopt;
    }
    if (malformedLine > 0) {
        failure.set(Failure::Kind::InvalidInput, path + ": line " + std::to_string(malformedLine) + " is neither a section nor key = value");
        return std::nullopt;
    }

    std::vector<std::string> errors;
    SettingsReader reader(path, document, errors);
    const std::string allowedName = "letters, digits, - and _, at most 63";
    Settings settings;
    settings.instance = InstanceId(reader.getText("instance", "id", namePattern, allowedName));
    settings.zone = ZoneId(reader.getText("instance", "zone", namePattern, allowedName));
    settings.callers = reader.getEndpoint("callers");
    settings.peers = reader.getEndpoint("peers");
    settings.advertised.host = document.find("peers", "advertise_address").value_or(settings.peers.host);
    settings.advertised.port = static_cast<std::uint16_t>(reader.getInteger("peers", "advertise_port", settings.peers.port, 1, 65535));
    settings.store = reader.getEndpoint("store");
    settings.workers = static_cast<int>(reader.getInteger("traffic", "workers", settings.workers, 1, 64));
    settings.drainGrace = std::chrono::milliseconds(reader.getInteger("drain", "grace_ms", settings.drainGrace.count(), 0, 600000));
    settings.drainTimeout = std::chrono::milliseconds(reader.getInteger("drain", "limit_ms", settings.drainTimeout.count(), 1, 600000));
    settings.seeds = readSeeds(document, reader);
    settings.trust = readTrust(document, reader);
    checkKnownKeys(document, reader);

    if (errors.empty())
        return settings;
    failure.set(Failure::Kind::InvalidInput, joinFaults(errors));
    return std::nullopt;
}

} // namespace lentiljunction
