#include "FaultInjector.h"

namespace lentiljunction::standins {

void FaultInjector::apply(const nlohmann::json& change)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->isFrozen = change.value("frozen", this->isFrozen);
    this->cutZones = change.value("cut_zones", this->cutZones);
    this->delays = change.value("delay_ms", this->delays);
    this->lagMilliseconds = change.value("lag_ms", this->lagMilliseconds.load());
    this->responsesToDrop = change.value("lose_answers", this->responsesToDrop);
    if (change.value("silence_connections", false))
        this->silenceGeneration++;
    this->unfrozen.notify_all();
}

void FaultInjector::waitWhileFrozen()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->unfrozen.wait(lock, [this] { return !this->isFrozen; });
}

bool FaultInjector::isCut(const std::string& zone)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->cutZones.count(zone) > 0;
}

std::chrono::milliseconds FaultInjector::getDelay(const std::string& zone)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::map<std::string, int>::iterator found = this->delays.find(zone);
    return std::chrono::milliseconds(found == this->delays.end() ? 0 : found->second);
}

bool FaultInjector::consumeDroppedResponse()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->responsesToDrop == 0)
        return false;
    this->responsesToDrop--;
    return true;
}

} // namespace lentiljunction::standins
