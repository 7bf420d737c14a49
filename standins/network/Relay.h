#pragma once

#include <asio.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace lentiljunction::standins {

/// A port that forwards to a process in a zone.
struct ForwardedPort {
    std::uint16_t listenPort = 0;
    std::uint16_t targetPort = 0;
    std::string zone;
};

/// Forwards TCP connections between zones and injects delay, loss and cuts.
///
/// Detects the client's zone from the text "zone=NAME" in the first bytes that the client sends.
/// Used on one thread only.
class Relay {
public:
    /// @param context runs the relay's operations; must outlive the relay
    /// @param address the IP address of all ports
    Relay(asio::io_context& context, std::string address);

    /// Opens a port that forwards connections.
    void addPort(const ForwardedPort& port);

    /// Changes the faults. Fields that are absent keep their value.
    ///
    /// Fields, all optional: delay_ms (one way between different zones), jitter_ms, loss_percent (a
    /// lost segment costs a retransmission), cut (array of [zone, zone]), cut_zones (zones cut off from
    /// every other zone), silence_connections (open connections transfer no more data).
    void apply(const nlohmann::json& change);

private:
    class Pipe;
    friend class Pipe;

    void accept(const std::shared_ptr<asio::ip::tcp::acceptor>& acceptor, const ForwardedPort& port);
    bool isCut(const std::string& left, const std::string& right) const;
    std::chrono::microseconds sampleDelay(const std::string& left, const std::string& right);

    asio::io_context& context;
    std::string address;
    std::chrono::microseconds delay { 0 };
    std::chrono::microseconds jitter { 0 };
    double lossPercent = 0;
    std::set<std::pair<std::string, std::string>> cuts;
    std::set<std::string> cutZones;
    std::uint64_t silenceGeneration = 0;
    std::mt19937_64 random { 1 };
};

} // namespace lentiljunction::standins
