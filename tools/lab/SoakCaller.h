#pragma once

#include "LineCaller.h"
#include "SoakHistory.h"
#include "lentiljunction/core/Random.h"

#include <functional>
#include <memory>
#include <vector>

namespace lentiljunction::lab {

/// One caller of a soak: opens sessions at any instance and checks what it is outcome.
///
/// It uses an open session until that breaks or it draws another one, also while its instance is
/// stopped or restarted.
class SoakCaller {
public:
    /// What a caller needs of the dependencies; all must be safe to call from any thread.
    struct Dependencies {
        std::vector<int> ports;
        /// The term of the group's newest primary: writes may get lost when it changes.
        std::function<std::uint64_t()> findTerm;
    };

    SoakCaller(int number, std::uint64_t seed, Dependencies dependencies, SoakHistory& history);

    /// Does one thing.
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
    /// Whether the session may hold an open transaction.
    bool isPrimaryRoute = true;
    std::uint64_t nextItem = 1;
    std::uint64_t numSteps = 0;
    std::uint64_t registerNumber = 1;
    std::uint64_t lastAttempted = 0;
    std::uint64_t lastAcknowledged = 0;
    std::uint64_t acknowledgedInTerm = 0;
    std::string preparedKind;
};

} // namespace lentiljunction::lab
