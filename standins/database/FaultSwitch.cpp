#include "FaultSwitch.h"

namespace lentiljunction::standins {

void FaultSwitch::apply(const nlohmann::json& change)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    this->isFrozen = change.value("frozen", this->isFrozen);
    this->cutZones = change.value("cut_zones", this->cutZones);
    this->delays = change.value("delay_ms", this->delays);
    this->lagMilliseconds = change.value("lag_ms", this->lagMilliseconds.load());
    this->answersToLose = change.value("lose_answers", this->answersToLose);
    if (change.value("silence_connections", false))
        this->silenceGeneration++;
    this->thawed.notify_all();
}

void FaultSwitch::waitWhileFrozen()
{
    std::unique_lock<std::mutex> lock(this->mutex);
    this->thawed.wait(lock, [this] { return !this->isFrozen; });
}

bool FaultSwitch::isCut(const std::string& zone)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->cutZones.count(zone) > 0;
}

std::chrono::milliseconds FaultSwitch::getDelay(const std::string& zone)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::map<std::string, int>::iterator found = this->delays.find(zone);
    return std::chrono::milliseconds(found == this->delays.end() ? 0 : found->second);
}

bool FaultSwitch::takeLostAnswer()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->answersToLose == 0)
        return false;
    this->answersToLose--;
    return true;
}

} // namespace lentiljunction::standins
