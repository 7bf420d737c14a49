#include "StoreWorker.h"

#include "lentiljunction/core/Threads.h"

#include <utility>

namespace lentiljunction {

namespace {

    constexpr Duration watchTimeout = std::chrono::seconds(5);
    constexpr Duration watchRoleCheckInterval = std::chrono::milliseconds(200);
    constexpr Duration watchRetryDelay = std::chrono::milliseconds(500);

} // namespace

StoreWorker::StoreWorker(PlatformStore& store, EventLoop& control, Listener& listener)
    : store(store)
    , control(control)
    , listener(listener)
{
}

StoreWorker::~StoreWorker()
{
    this->stop();
}

void StoreWorker::start()
{
    this->callThread = startThread("store-calls", [this] { this->runCalls(); });
    this->watchThread = startThread("store-watch", [this] { this->runWatch(); });
}

void StoreWorker::stop()
{
    this->isStopping = true;
    this->condition.notify_all();
    if (this->callThread.joinable())
        this->callThread.join();
    if (this->watchThread.joinable())
        this->watchThread.join();
}

void StoreWorker::submit(Call call)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->calls.push_back(std::move(call));
    this->condition.notify_all();
}

std::size_t StoreWorker::getNumWaiting()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->calls.size();
}

void StoreWorker::runCalls()
{
    while (!this->isStopping) {
        Call call;
        {
            std::unique_lock<std::mutex> lock(this->mutex);
            this->condition.wait(lock, [this] { return this->isStopping || !this->calls.empty(); });
            if (this->isStopping)
                return;
            call = std::move(this->calls.front());
            this->calls.pop_front();
        }
        call(this->store);
    }
}

void StoreWorker::runWatch()
{
    std::uint64_t revision = 0;
    while (!this->isStopping) {
        if (!this->isWatching) {
            revision = 0;
            this->waitUnlessStopping(watchRoleCheckInterval);
            continue;
        }

        Failure failure;
        std::optional<StoreWatchResult> changes = this->store.watch(storekeys::watched, revision, watchTimeout, failure);
        bool isReachable = changes.has_value();
        this->control.post([this, isReachable] { this->listener.onStoreReachable(isReachable); });
        if (!changes) {
            this->waitUnlessStopping(watchRetryDelay);
            continue;
        }
        revision = changes->revision;
        if (!changes->objects.empty())
            this->control.post([this, changed = *changes] { this->listener.onStoreChanged(changed); });
    }
}

void StoreWorker::waitUnlessStopping(Duration duration)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->condition.wait_for(lock, duration, [this] { return this->isStopping.load(); });
}

} // namespace lentiljunction
