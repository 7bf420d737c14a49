#pragma once

#include "lentiljunction/core/Random.h"
#include "lentiljunction/quota/lj_quota.h"

#include <deque>
#include <memory>
#include <set>
#include <vector>

namespace lentiljunction {

/// A fleet of quota clients and accountants on a simulated network. Each instance has its own clock.
class QuotaFleet {
public:
    static constexpr Duration step = std::chrono::milliseconds(10);

    /// How the network treats a message.
    struct Faults {
        Duration maximumDelay { std::chrono::milliseconds(10) };
        int lostPercent = 0;
        int repeatedPercent = 0;
    };

    QuotaFleet(std::size_t numInstances, std::size_t numZones, std::uint64_t seed);

    /// Advances all clocks by one step, delivers messages and runs the timers.
    void advance();
    void run(Duration span);

    void setLimits(const std::vector<QuotaLimit>& limits);
    void kill(std::size_t index);
    void restart(std::size_t index);
    void add(std::size_t zone);
    void stop(std::size_t index) { this->instances[index]->accountant->stop(); }
    void setFrozen(std::size_t index, bool isFrozen) { this->instances[index]->isFrozen = isFrozen; }
    void setCut(std::size_t left, std::size_t right, bool isCut);

    /// Sends an operation of a workspace to an instance.
    void operate(std::size_t index, const WorkspaceId& workspace);

    /// @returns the instance that a partition's operations of a zone go to first
    std::size_t findCoordinator(const WorkspaceId& workspace, std::size_t zone) const;

    /// @returns the greatest number of operations of a workspace in any window, of those admitted after a time
    std::size_t findBusiestWindow(const WorkspaceId& workspace, Duration after = Duration(0)) const;

    /// @returns the greatest sum of the shares of a partition that the running accountants count
    double findGreatestShare();

    std::size_t getSize() const { return this->instances.size(); }
    std::size_t getZone(std::size_t index) const { return index % this->numZones; }
    Duration getTime() const { return this->time; }
    std::size_t countAdmitted(const WorkspaceId& workspace) const { return this->admitted.count(workspace) == 0 ? 0 : this->admitted.at(workspace).size(); }
    std::size_t countRefused(const WorkspaceId& workspace) const { return this->refused.count(workspace) == 0 ? 0 : this->refused.at(workspace); }
    std::uint64_t countMessages() const { return this->numMessages; }

    Faults faults;

private:
    struct Packet {
        Duration deliverAt;
        std::size_t from;
        std::size_t to;
        /// The process of the client.
        std::uint64_t process;
        bool isForAccountant;
        QuotaMessage message;
    };

    struct Instance : QuotaClient::Transport, QuotaAccountant::Transport {
        void sendToCoordinator(const FleetMember& coordinator, const QuotaMessage& message) override;
        void dropLink(const InstanceId&) override { }
        void sendToClient(std::uint64_t link, const QuotaMessage& message) override;

        QuotaFleet* fleet = nullptr;
        std::size_t index = 0;
        std::uint64_t process = 0;
        ManualClock clock;
        std::unique_ptr<QuotaClient> client;
        std::unique_ptr<QuotaAccountant> accountant;
        bool isFrozen = false;
        Duration nextListAt { 0 };
        Duration startedAt { 0 };
    };

    FleetMember makeMember(std::size_t index) const;
    void readList(Instance& instance);
    void send(Packet packet);
    void deliver(const Packet& packet);
    bool isCut(std::size_t left, std::size_t right) const;

    std::size_t numZones;
    Random random;
    Duration time { 0 };
    std::vector<std::unique_ptr<Instance>> instances;
    std::vector<QuotaLimit> limits;
    std::vector<Packet> packets;
    std::set<std::pair<std::size_t, std::size_t>> cuts;
    std::map<WorkspaceId, std::deque<Duration>> admitted;
    std::map<WorkspaceId, std::size_t> refused;
    std::uint64_t nextProcess = 1;
    std::uint64_t numMessages = 0;
};

} // namespace lentiljunction
