#include "SoakKeys.h"

#include "LineCaller.h"

#include <thread>

namespace lentiljunction::lab {

namespace {

    /// The time after which a key must be accepted or refused everywhere. Faults end before an instance may rely on
    /// refusals of the store, which would give it 15 s more.
    constexpr std::chrono::seconds keyLimit { 5 };
    constexpr int numWorkspaces = 4;
    constexpr std::uint64_t percentScale = 100;
    constexpr std::uint64_t removedPercent = 5;
    constexpr std::uint64_t maximumPauseMilliseconds = 3000;
    constexpr std::chrono::milliseconds pollInterval { 20 };

    void wait(std::chrono::milliseconds duration, const std::atomic<bool>& isStopping)
    {
        TimePoint end = SystemClock().now() + duration;
        while (!isStopping && SystemClock().now() < end)
            std::this_thread::sleep_for(pollInterval);
    }

} // namespace

SoakKeys::SoakKeys(standin::PlatformSite& site, SoakHistory& history)
    : site(site)
    , history(history)
{
    this->keys["probe"] = { probeKey };
    for (int number = 0; number < numWorkspaces; number++) {
        std::string text = "key" + std::to_string(this->numKeys++);
        this->keys["w" + std::to_string(number)] = { text };
        this->addedAt[text] = TimePoint();
    }
    this->site.setWorkspaces(this->keys);
}

void SoakKeys::publish()
{
    this->site.setWorkspaces(this->keys);
    this->site.configure(++this->version, { "bookings", "checks" });
}

void SoakKeys::replaceKey(Random& random, const std::atomic<bool>& isStopping)
{
    std::string workspace = "w" + std::to_string(random.below(numWorkspaces));
    {
        std::lock_guard<std::mutex> lock(this->mutex);
        std::string text = "key" + std::to_string(this->numKeys++);
        this->keys[workspace].push_back(text);
        this->publish();
        this->addedAt[text] = SystemClock().now();
    }
    // Callers use the new key once every instance must know it.
    wait(keyLimit + std::chrono::milliseconds(random.below(maximumPauseMilliseconds)), isStopping);
    if (isStopping)
        return;
    std::lock_guard<std::mutex> lock(this->mutex);
    std::string text = this->keys[workspace].front();
    this->keys[workspace].erase(this->keys[workspace].begin());
    this->removalBegan[text] = SystemClock().now();
    this->publish();
    this->removedAt[text] = SystemClock().now();
    this->removed.push_back({ workspace, text });
}

SoakKeys::Key SoakKeys::chooseKey(Random& random)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->removed.empty() && random.below(percentScale) < removedPercent)
        return this->removed[random.below(this->removed.size())];
    std::string workspace = "w" + std::to_string(random.below(numWorkspaces));
    const std::vector<std::string>& held = this->keys[workspace];
    bool isNewestKnown = SystemClock().now() - this->addedAt[held.back()] > keyLimit;
    return { workspace, isNewestKnown ? held.back() : held.front() };
}

void SoakKeys::checkResponse(const Key& key, TimePoint sentAt, const std::string& response)
{
    std::lock_guard<std::mutex> lock(this->mutex);
    std::map<std::string, TimePoint>::const_iterator removal = this->removedAt.find(key.text);
    bool mustBeRefused = removal != this->removedAt.end() && sentAt > removal->second + keyLimit;
    if (mustBeRefused && (response == "READY I -" || isServed(response)))
        this->history.addViolation("removed key: " + key.text + " of " + key.workspace + " got the response " + response);
    if (contains(response, "AUTHFAIL") && this->removalBegan.count(key.text) == 0)
        this->history.addViolation("valid key: " + key.text + " of " + key.workspace + " was refused");
}

void SoakKeys::checkArrivals()
{
    for (const std::string& wrong : this->site.getGroup().listWrongNames())
        this->history.addViolation("other workspace: " + wrong);
    std::lock_guard<std::mutex> lock(this->mutex);
    for (const Key& key : this->removed) {
        std::optional<TimePoint> last = this->site.getGroup().findLastArrival(key.makeIdPrefix());
        if (last && *last > this->removedAt[key.text] + keyLimit)
            this->history.addViolation("removed key: a statement of " + key.text + " reached an upstream after the limit");
    }
}

std::size_t SoakKeys::countRemoved()
{
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->removed.size();
}

} // namespace lentiljunction::lab
