#pragma once

#include "LineCaller.h"
#include "SoakHistory.h"
#include "SoakKeys.h"
#include "lentiljunction/core/Random.h"

#include <functional>
#include <memory>
#include <vector>

namespace lentiljunction::lab {

/// One caller of a soak test: sends random statements to random instances and checks the responses.
///
/// It keeps a session until the session breaks or the caller randomly opens another one, even while the
/// instance is paused or restarted. Use each caller from one thread only.
class SoakCaller {
public:
    /// What a caller needs to know of the site. The function must be safe to call from any thread.
    struct Dependencies {
        /// Session port of each instance.
        std::vector<int> ports;
        /// Returns the term of the group's newest primary. A change of the term may lose writes.
        std::function<std::uint64_t()> findTerm;
        /// The keys of the callers; nullptr without workspaces.
        SoakKeys* keys = nullptr;
    };

    SoakCaller(int number, std::uint64_t seed, Dependencies dependencies, SoakHistory& history);

    /// Runs one random operation: a write, a transaction, a write or read of the caller's register, or a prepared
    /// statement. Opens a session first when needed.
    void step();

    std::uint64_t getNumSteps() const { return this->numSteps; }

private:
    std::string execute(const std::string& text);
    void openSession();
    void writeOnce();
    void writeTransaction();
    void writeRegister();
    void readRegister();
    void runPreparedStatement();
    std::string getRegister() const { return "register" + std::to_string(this->number) + "-" + std::to_string(this->registerNumber); }
    std::string makeItem(const std::string& kind) { return kind + std::to_string(this->number) + "-" + std::to_string(this->nextItem++); }

    int number;
    Random random;
    Dependencies dependencies;
    SoakHistory& history;
    std::unique_ptr<LineCaller> session;
    /// The key of the session, where there are workspaces.
    SoakKeys::Key key;
    /// Whether the session uses the database with the primary route ("bookings"). Only such a session may hold an
    /// open transaction, and only its reads are checked for stale values.
    bool isPrimaryRoute = true;
    std::uint64_t nextItem = 1;
    std::uint64_t numSteps = 0;
    /// The register is an item with rising values that only this caller writes.
    std::uint64_t registerNumber = 1;
    std::uint64_t lastAttempted = 0;
    std::uint64_t lastAcknowledged = 0;
    std::uint64_t acknowledgedInTerm = 0;
    /// READ or WRITE, the kind of the session's prepared statement; empty when it has none.
    std::string preparedKind;
};

} // namespace lentiljunction::lab
