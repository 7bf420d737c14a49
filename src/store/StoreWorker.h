#pragma once

#include "lentiljunction/core/EventLoop.h"
#include "lentiljunction/store/PlatformStore.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace lentiljunction {

/// Makes calls to the store on threads of their own, and a watch while this instance is its zone's
/// watcher. Results are handed back through tasks on the control loop.
class StoreWorker {
public:
    using Call = std::function<void(PlatformStore& store)>;

    /// Is told what the watch brings, on the control thread.
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void onStoreChanged(const StoreWatchResult& changes) = 0;

        /// The store answers again, or no longer.
        virtual void onStoreReachable(bool isReachable) = 0;
    };

    /// @param store the store; must outlive this object
    /// @param control the control loop; must outlive this object
    /// @param listener told what the watch brings; must outlive this object
    StoreWorker(PlatformStore& store, EventLoop& control, Listener& listener);
    ~StoreWorker();
    StoreWorker(const StoreWorker&) = delete;
    StoreWorker& operator=(const StoreWorker&) = delete;

    /// Starts the threads.
    void start();

    /// Stops the threads after the calls under way.
    void stop();

    /// Makes a call soon, after those before it. Safe to call from any thread.
    void submit(Call call);

    /// Sets whether this instance watches for its zone.
    void setWatching(bool watching) { this->isWatching = watching; }

    /// @returns the number of calls that wait
    std::size_t getNumWaiting();

private:
    void runCalls();
    void runWatch();
    void pause(Duration duration);

    PlatformStore& store;
    EventLoop& control;
    Listener& listener;
    std::atomic<bool> isWatching { false };
    std::atomic<bool> isStopping { false };
    std::mutex mutex;
    std::condition_variable condition;
    std::deque<Call> calls;
    std::thread callThread;
    std::thread watchThread;
};

} // namespace lentiljunction
