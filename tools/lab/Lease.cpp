#include "Experiments.h"

#include "../../src/store/HttpPlatformStore.h"
#include "Cluster.h"

#include <algorithm>
#include <atomic>
#include <random>
#include <thread>

namespace lentiljunction::lab {

namespace {

    constexpr const char* leaseKey = "lease/db-a";
    constexpr int numRounds = 5;
    constexpr std::chrono::milliseconds pollInterval { 50 };
    constexpr std::chrono::seconds acquireTimeout { 8 };

    using SteadyTime = std::chrono::steady_clock::time_point;

    double toMilliseconds(std::chrono::steady_clock::duration duration)
    {
        return std::chrono::duration<double, std::milli>(duration).count();
    }

    /// Holds a lease in the store and renews it three times per lease duration until stop() is called.
    class LeaseHolder {
    public:
        LeaseHolder(const Endpoint& endpoint, std::chrono::milliseconds duration)
            : store(endpoint, "zone=;instance=holder", nullptr)
            , duration(duration)
            , thread([this] { this->run(); })
        {
        }

        ~LeaseHolder() { this->stop(); }
        LeaseHolder(const LeaseHolder&) = delete;
        LeaseHolder& operator=(const LeaseHolder&) = delete;

        void stop()
        {
            this->isStopped = true;
            if (this->thread.joinable())
                this->thread.join();
        }

        int getNumRenewals() const { return this->numRenewals; }

    private:
        void run()
        {
            StoreVersion version;
            while (!this->isStopped) {
                Failure failure;
                std::optional<StoreVersion> renewed = this->store.put(leaseKey, version, "holder " + std::to_string(this->numRenewals), failure);
                if (renewed)
                    version = *renewed;
                this->numRenewals++;
                std::this_thread::sleep_for(this->duration / 3);
            }
        }

        HttpPlatformStore store;
        std::chrono::milliseconds duration;
        std::atomic<bool> isStopped { false };
        std::atomic<int> numRenewals { 0 };
        std::thread thread;
    };

    /// Acquires the lease once it has not been renewed for its whole duration.
    ///
    /// @returns whether the lease was acquired before the timeout
    bool acquireLease(const Endpoint& endpoint, std::chrono::milliseconds duration)
    {
        HttpPlatformStore store(endpoint, "zone=;instance=successor", nullptr);
        SteadyTime begin = std::chrono::steady_clock::now();
        SteadyTime unchangedSince = begin;
        StoreVersion seen;
        while (std::chrono::steady_clock::now() < begin + acquireTimeout) {
            Failure failure;
            std::optional<StoreObject> lease = store.get(leaseKey, failure);
            if (lease && lease->version != seen) {
                seen = lease->version;
                unchangedSince = std::chrono::steady_clock::now();
            }
            bool hasExpired = lease && std::chrono::steady_clock::now() - unchangedSince >= duration;
            if (hasExpired && store.put(leaseKey, seen, "successor", failure))
                return true;
            std::this_thread::sleep_for(pollInterval);
        }
        return false;
    }

} // namespace

nlohmann::json measureLease(const ExperimentConfig& setting)
{
    Cluster cluster(makeDemoSite(), setting.binaries, setting.folder);
    Failure failure;
    if (!cluster.start(failure))
        return { { "error", failure.reason } };

    Endpoint endpoint { "127.0.0.1", static_cast<std::uint16_t>(cluster.getStorePort()) };
    nlohmann::json report;
    std::mt19937 random(1);
    for (std::chrono::milliseconds duration : { std::chrono::milliseconds(1000), std::chrono::milliseconds(3000) }) {
        std::vector<double> gaps;
        double renewalsPerSecond = 0;
        for (int round = 0; round < numRounds; round++) {
            LeaseHolder holder(endpoint, duration);
            std::chrono::milliseconds lifetime(2000 + static_cast<int>(random() % 500));
            std::this_thread::sleep_for(lifetime);
            holder.stop();
            renewalsPerSecond += holder.getNumRenewals() / (static_cast<double>(lifetime.count()) / 1000) / numRounds;
            SteadyTime stoppedAt = std::chrono::steady_clock::now();
            if (acquireLease(endpoint, duration))
                gaps.push_back(toMilliseconds(std::chrono::steady_clock::now() - stoppedAt));
        }
        std::sort(gaps.begin(), gaps.end());
        report["lease_" + std::to_string(duration.count()) + "_ms"] = { { "gaps_ms", gaps }, { "median_gap_ms", gaps[gaps.size() / 2] }, { "store_writes_per_s_and_group", renewalsPerSecond } };
    }

    LeaseHolder holder(endpoint, std::chrono::milliseconds(1000));
    std::this_thread::sleep_for(std::chrono::seconds(1));
    cluster.postControl(cluster.getStorePort(), { { "down", true } });
    holder.stop();
    report["store_down_taken_over"] = acquireLease(endpoint, std::chrono::milliseconds(1000));
    return report;
}

} // namespace lentiljunction::lab
