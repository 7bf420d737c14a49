#include "GatewaySettings.h"

#include "../settings/IniDocument.h"
#include "lentiljunction/core/JsonFields.h"

#include <algorithm>
#include <asio/ip/address.hpp>
#include <charconv>
#include <cmath>
#include <limits>
#include <set>
#include <sstream>

namespace lentiljunction {

namespace {

    const std::set<std::string> knownKeys {
        "instance.id", "instance.zone", "sessions.listen", "ready.listen", "peers.listen", "peers.seeds", "lending.listen",
        "quota.listen", "quota.window_s", "quota.overage", "quota.slack", "capacity.discover", "upstream_health.eject", "metrics.listen", "store.endpoint", "store.first_start", "promotion.endpoint", "limits.descriptors", "limits.link_mbps", "limits.memory", "drain.grace_s"
    };
    constexpr double shortestQuotaWindowSeconds = 0.001;
    constexpr double longestSeconds = 86400;
    constexpr std::size_t fewestDescriptors = 64;
    constexpr std::size_t leastMemory = 1;
    constexpr double maximumCount = std::numeric_limits<std::int32_t>::max();
    constexpr double bitsPerMegabit = 1e6;
    constexpr double maximumQuotaOverage = 1000;
    constexpr double maximumQuotaSlack = 1e12;

    template <typename T>
    std::optional<T> parseNumber(const std::string& text)
    {
        T number = 0;
        std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), number);
        if (text.empty() || result.ec != std::errc() || result.ptr != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    /// Reads typed values from the file and collects all faults.
    class Reader {
    public:
        Reader(const std::string& path, const IniDocument& document)
            : path(path)
            , document(document)
        {
        }

        std::string getText(const std::string& section, const std::string& key)
        {
            std::string value = this->document.find(section, key).value_or("");
            // The names are fields of messages, of paths and of log lines.
            bool isName = !value.empty() && std::all_of(value.begin(), value.end(), [](unsigned char letter) { return letter > ' ' && letter != 0x7f && letter != '"'; });
            if (!isName)
                this->addFault(section, key, value, "a name without blanks and quotation marks");
            return value;
        }

        Endpoint getEndpoint(const std::string& section, const std::string& key)
        {
            std::string value = this->document.find(section, key).value_or("");
            Failure failure;
            std::optional<Endpoint> endpoint = parseEndpoint(value, failure);
            if (!endpoint)
                this->addFault(section, key, value, "address:port");
            return endpoint.value_or(Endpoint());
        }

        /// A name would have to be resolved before the port can be opened.
        Endpoint getListenAddress(const std::string& section)
        {
            std::string value = this->document.find(section, "listen").value_or("");
            Failure failure;
            std::optional<Endpoint> endpoint = parseEndpoint(value, failure);
            asio::error_code error;
            if (endpoint)
                asio::ip::make_address(endpoint->host, error);
            if (!endpoint || error)
                this->addFault(section, "listen", value, "address:port with a numeric address");
            return endpoint.value_or(Endpoint());
        }

        std::vector<Endpoint> getEndpoints(const std::string& section, const std::string& key)
        {
            std::vector<Endpoint> endpoints;
            std::istringstream stream(this->document.find(section, key).value_or(""));
            std::string item;
            while (std::getline(stream, item, ',')) {
                item.erase(0, item.find_first_not_of(" \t"));
                item.erase(item.find_last_not_of(" \t") + 1);
                Failure failure;
                std::optional<Endpoint> endpoint = parseEndpoint(item, failure);
                if (endpoint)
                    endpoints.push_back(*endpoint);
                else if (!item.empty())
                    this->addFault(section, key, item, "address:port, separated by commas");
            }
            return endpoints;
        }

        std::chrono::milliseconds getSeconds(const std::string& section, const std::string& key, std::chrono::milliseconds fallback, double minimum)
        {
            double seconds = this->getDecimal(section, key, std::chrono::duration<double>(fallback).count(), minimum, longestSeconds);
            return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(seconds));
        }

        /// @returns the value of an optional key, or nothing when it is missing or empty
        std::optional<std::string> findOptional(const std::string& section, const std::string& key) const
        {
            std::optional<std::string> value = this->document.find(section, key);
            return value && !value->empty() ? value : std::nullopt;
        }

        double getDecimal(const std::string& section, const std::string& key, double fallback, double minimum, double maximum)
        {
            std::optional<std::string> value = this->findOptional(section, key);
            if (!value)
                return fallback;
            std::optional<double> number = parseNumber<double>(*value);
            if (number && *number >= minimum && *number <= maximum)
                return *number;
            std::ostringstream allowed;
            allowed << "a number from " << minimum << " to " << maximum;
            this->addFault(section, key, *value, allowed.str());
            return fallback;
        }

        std::optional<std::size_t> getCount(const std::string& section, const std::string& key, std::size_t minimum)
        {
            std::optional<std::string> value = this->findOptional(section, key);
            if (!value)
                return std::nullopt;
            // Writers may render a whole number with a decimal point.
            std::optional<double> number = parseNumber<double>(*value);
            if (number && *number >= static_cast<double>(minimum) && *number <= maximumCount && std::trunc(*number) == *number)
                return static_cast<std::size_t>(*number);
            this->addFault(section, key, *value, "a whole number of " + std::to_string(minimum) + " or more");
            return std::nullopt;
        }

        bool getFlag(const std::string& section, const std::string& key, bool fallback)
        {
            std::optional<std::string> value = this->findOptional(section, key);
            if (!value || *value == "true" || *value == "false")
                return value ? *value == "true" : fallback;
            this->addFault(section, key, *value, "true or false");
            return fallback;
        }

        void rejectUnknownKeys()
        {
            for (const IniDocument::Entry& entry : this->document.getEntries()) {
                if (knownKeys.count(entry.section + "." + entry.key) == 0)
                    this->addFault(entry.section, entry.key, entry.value, "no key of this name");
            }
        }

        const std::vector<std::string>& getFaults() const { return this->faults; }

    private:
        void addFault(const std::string& section, const std::string& key, const std::string& value, const std::string& allowed)
        {
            this->faults.push_back(this->path + " [" + section + "] " + key + " = \"" + value + "\": allowed is " + allowed);
        }

        const std::string& path;
        const IniDocument& document;
        std::vector<std::string> faults;
    };

} // namespace

bool isGatewayFile(const std::string& path)
{
    IniDocument document;
    return document.read(path) == 0 && document.find("sessions", "listen").has_value();
}

std::optional<GatewaySettings> loadGatewaySettings(const std::string& path, Failure& failure)
{
    IniDocument document;
    int malformedLine = document.read(path);
    if (malformedLine != 0) {
        failure.set(Failure::Kind::InvalidInput, path + (malformedLine < 0 ? ": cannot be opened" : ": line " + std::to_string(malformedLine) + " is neither a section nor key = value"));
        return std::nullopt;
    }

    Reader reader(path, document);
    GatewaySettings settings;
    settings.instance = InstanceId(reader.getText("instance", "id"));
    settings.zone = ZoneId(reader.getText("instance", "zone"));
    settings.sessions = reader.getListenAddress("sessions");
    settings.ready = reader.getListenAddress("ready");
    settings.peers = reader.getListenAddress("peers");
    settings.seeds = reader.getEndpoints("peers", "seeds");
    if (reader.findOptional("lending", "listen"))
        settings.lending = reader.getListenAddress("lending");
    if (document.find("quota", "listen"))
        settings.quota = reader.getListenAddress("quota");
    settings.quotaTolerance.window = reader.getSeconds("quota", "window_s", settings.quotaTolerance.window, shortestQuotaWindowSeconds);
    settings.quotaTolerance.overage = reader.getDecimal("quota", "overage", settings.quotaTolerance.overage, 0, maximumQuotaOverage);
    settings.quotaTolerance.slack = reader.getDecimal("quota", "slack", settings.quotaTolerance.slack, 0, maximumQuotaSlack);
    settings.metrics = reader.getListenAddress("metrics");
    settings.store = reader.getEndpoint("store", "endpoint");
    settings.isFirstStart = reader.getFlag("store", "first_start", settings.isFirstStart);
    if (reader.findOptional("promotion", "endpoint"))
        settings.promotion = reader.getEndpoint("promotion", "endpoint");
    settings.discoversCapacity = reader.getFlag("capacity", "discover", settings.discoversCapacity);
    settings.ejectsUpstreams = reader.getFlag("upstream_health", "eject", settings.ejectsUpstreams);
    settings.maximumDescriptors = reader.getCount("limits", "descriptors", fewestDescriptors);
    settings.linkRate = BitRate(static_cast<std::uint64_t>(reader.getDecimal("limits", "link_mbps", 0, 0, maximumCount) * bitsPerMegabit));
    settings.maximumMemory = reader.getCount("limits", "memory", leastMemory);
    settings.shutdownGrace = reader.getSeconds("drain", "grace_s", settings.shutdownGrace, 0);
    reader.rejectUnknownKeys();
    if (reader.getFaults().empty())
        return settings;
    failure.set(Failure::Kind::InvalidInput, joinFaults(reader.getFaults()));
    return std::nullopt;
}

} // namespace lentiljunction
