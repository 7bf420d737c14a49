#pragma once

#include "lentiljunction/store/PlatformStore.h"

#include <map>

namespace lentiljunction::tests {

/// An in-memory store in which a fault can be injected into any call.
class MemoryStore : public PlatformStore {
public:
    /// The fault of one call.
    enum class CallFault {
        None,
        /// No response, and no effect.
        Unavailable,
        /// No response, but an update is applied.
        AnswerLost,
    };

    std::optional<StoreObject> get(const std::string& key, Failure& failure) override;
    std::optional<StoreVersion> put(const std::string& key, StoreVersion expected, const std::string& value, Failure& failure) override;
    std::optional<std::vector<std::string>> list(const std::string& prefix, Failure& failure) override;
    std::optional<StoreWatchResult> watch(const std::string& prefix, std::uint64_t afterRevision, Duration limit, Failure& failure) override;

    /// Injects a fault into a later call.
    ///
    /// @param newFault the fault
    /// @param atCall the number of calls before the faulty one
    void setFault(CallFault newFault, int atCall)
    {
        this->fault = newFault;
        this->callsBeforeFault = atCall;
    }

    /// @returns whether the fault occurred
    bool hasFaultHappened() const { return this->callsBeforeFault < 0; }

    std::map<std::string, StoreObject> objects;

private:
    CallFault takeFault();

    CallFault fault = CallFault::None;
    int callsBeforeFault = 0;
};

} // namespace lentiljunction::tests
