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

/// Runs blocking store calls on a thread of its own. A second thread watches the store while this
/// instance is the zone reader and posts the changes to the control loop.
class StoreWorker {
public:
    using Call = std::function<void(PlatformStore& store)>;

    /// Receives changes of the store. Called on the control thread.
    class Listener {
    public:
        virtual ~Listener() = default;
        virtual void onStoreChanged(const StoreWatchResult& changes) = 0;

        /// Called after each watch request.
        ///
        /// @param isReachable whether the store responded
        virtual void onStoreReachable(bool isReachable) = 0;
    };

    /// @param store the store; must outlive this object
    /// @param control the control loop; must outlive this object
    /// @param listener receives the changes; must outlive this object
    StoreWorker(PlatformStore& store, EventLoop& control, Listener& listener);
    ~StoreWorker();
    StoreWorker(const StoreWorker&) = delete;
    StoreWorker& operator=(const StoreWorker&) = delete;

    /// Starts the threads.
    void start();

    /// Stops the threads once the calls in progress return; queued calls are dropped.
    void stop();

    /// Queues a call; calls run in order on the call thread. Safe to call from any thread.
    void submit(Call call);

    /// Sets whether this instance is the zone reader and watches the store. Safe to call from any thread.
    void setWatching(bool watching) { this->isWatching = watching; }

    /// @returns the number of queued calls; safe to call from any thread
    std::size_t getNumWaiting();

private:
    void runCalls();
    void runWatch();
    void waitUnlessStopping(Duration duration);

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
