#pragma once

#include "lentiljunction/store/PlatformStore.h"

#include <map>

namespace lentiljunction::tests {

/// A store in memory whose every call may go wrong.
class MemoryStore : public PlatformStore {
public:
    /// What goes wrong with one call.
    enum class CallFault {
        None,
        /// No answer, and no effect.
        Unavailable,
        /// No answer, although an update took effect.
        AnswerLost,
    };

    std::optional<StoreObject> get(const std::string& key, Failure& failure) override;
    std::optional<StoreVersion> put(const std::string& key, StoreVersion expected, const std::string& value, Failure& failure) override;
    std::optional<std::vector<std::string>> list(const std::string& prefix, Failure& failure) override;
    std::optional<StoreWatchResult> watch(const std::string& prefix, std::uint64_t afterRevision, Duration limit, Failure& failure) override;

    /// Puts a fault at a call, counted from now.
    void setFault(CallFault newFault, int atCall)
    {
        this->fault = newFault;
        this->callsUntilFault = atCall;
    }

    /// @returns whether the fault took place
    bool hasFaultHappened() const { return this->callsUntilFault < 0; }

    std::map<std::string, StoreObject> objects;

private:
    CallFault takeFault();

    CallFault fault = CallFault::None;
    int callsUntilFault = 0;
};

} // namespace lentiljunction::tests
