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

/// A port that stands for a process in a zone.
struct ForwardedPort {
    std::uint16_t listenPort = 0;
    std::uint16_t targetPort = 0;
    std::string zone;
};

/// Forwards TCP connections between zones with delay, loss and cuts.
///
/// The zone of the client is read from the text "zone=NAME" in the first bytes that it sends.
/// Runs on one thread; all members are used from it only.
class Relay {
public:
    /// @param context runs the relay; must outlive it
    /// @param address the IP number of all ports
    Relay(asio::io_context& context, std::string address);

    /// Opens a port.
    void addPort(const ForwardedPort& port);

    /// Takes a change of faults.
    ///
    /// Fields, all optional: delay_ms (one way between different zones), jitter_ms, loss_percent (a
    /// lost segment costs a retransmissionDelay), cut (array of [zone, zone]), cut_zones (zones cut off
    /// from every other), silence_connections (those open now carry nothing any more).
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
