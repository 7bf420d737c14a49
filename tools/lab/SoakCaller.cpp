#include "SoakCaller.h"

#include <utility>

namespace lentiljunction::lab {

namespace {

    /// Several times the statement timeout of the routes. A response that takes longer counts as missing.
    constexpr std::chrono::seconds responseTimeout { 10 };
    constexpr std::uint64_t percentScale = 100;
    constexpr std::uint64_t newSessionPercent = 8;

    SoakHistory::WriteOutcome classifyResponse(const std::string& response)
    {
        if (isServed(response))
            return SoakHistory::WriteOutcome::Acknowledged;
        bool isUnknown = response.empty() || response.find("READY") == std::string::npos || contains(response, "INDOUBT") || contains(response, "TIMEOUT");
        return isUnknown ? SoakHistory::WriteOutcome::Unknown : SoakHistory::WriteOutcome::Refused;
    }

} // namespace

SoakCaller::SoakCaller(int number, std::uint64_t seed, Dependencies dependencies, SoakHistory& history)
    : number(number)
    , random(seed * 1000 + static_cast<std::uint64_t>(number))
    , dependencies(std::move(dependencies))
    , history(history)
{
}

void SoakCaller::step()
{
    this->numSteps++;
    if (this->session == nullptr || this->random.below(percentScale) < newSessionPercent)
        this->openSession();
    if (this->session == nullptr)
        return;
    switch (this->random.below(5)) {
    case 0:
        return this->writeOnce();
    case 1:
        return this->writeTransaction();
    case 2:
        return this->writeRegister();
    case 3:
        return this->readRegister();
    default:
        return this->runPreparedStatement();
    }
}

void SoakCaller::openSession()
{
    this->isPrimaryRoute = this->random.below(2) == 0;
    int port = this->dependencies.ports[this->random.below(this->dependencies.ports.size())];
    if (this->dependencies.keys != nullptr)
        this->key = this->dependencies.keys->chooseKey(this->random);
    TimePoint sentAt = SystemClock().now();
    this->session = std::make_unique<LineCaller>(static_cast<std::uint16_t>(port), this->isPrimaryRoute ? "bookings" : "checks", responseTimeout, this->dependencies.keys == nullptr ? "tester" : this->key.text);
    if (this->dependencies.keys != nullptr) {
        this->session->setIdPrefix(this->key.makeIdPrefix());
        this->dependencies.keys->checkResponse(this->key, sentAt, this->session->getStartupResponse());
    }
    this->preparedKind.clear();
    if (!contains(this->session->getStartupResponse(), "READY"))
        this->session.reset();
}

std::string SoakCaller::execute(const std::string& text)
{
    if (this->session == nullptr)
        return "";
    TimePoint sentAt = SystemClock().now();
    std::string response = this->session->execute(text);
    if (this->dependencies.keys != nullptr)
        this->dependencies.keys->checkResponse(this->key, sentAt, response);
    if (this->session->hasTimedOut())
        this->history.addViolation("silent: no response to \"" + text + "\" of caller " + std::to_string(this->number));
    // Without READY the response is missing or incomplete and the state of the session is unknown.
    if (response.find("READY") == std::string::npos)
        this->session.reset();
    return response;
}

void SoakCaller::writeOnce()
{
    std::string item = this->makeItem("once");
    this->history.recordWrite(item, classifyResponse(this->execute("WRITE " + item + " v")));
}

void SoakCaller::writeTransaction()
{
    if (!contains(this->execute("BEGIN"), "READY T"))
        return;
    std::string first = this->makeItem("tx");
    std::string second = this->makeItem("tx");
    bool isWritten = isServed(this->execute("WRITE " + first + " v")) && isServed(this->execute("WRITE " + second + " v"));
    if (!isWritten) {
        // A transaction that failed before COMMIT must not take effect.
        this->execute("ROLLBACK");
        this->history.recordWrite(first, SoakHistory::WriteOutcome::Refused);
        this->history.recordWrite(second, SoakHistory::WriteOutcome::Refused);
        return;
    }
    SoakHistory::WriteOutcome outcome = classifyResponse(this->execute("COMMIT"));
    this->history.recordWrite(first, outcome);
    this->history.recordWrite(second, outcome);
}

void SoakCaller::writeRegister()
{
    std::uint64_t term = this->dependencies.findTerm();
    std::uint64_t value = ++this->lastAttempted;
    SoakHistory::WriteOutcome outcome = classifyResponse(this->execute("WRITE " + this->getRegister() + " " + std::to_string(value)));
    if (outcome == SoakHistory::WriteOutcome::Unknown) {
        // The write may take effect after a later one, so later reads of this register prove nothing. Use a new
        // register.
        this->registerNumber++;
        this->lastAcknowledged = 0;
    }
    if (outcome != SoakHistory::WriteOutcome::Acknowledged)
        return;
    this->lastAcknowledged = value;
    this->acknowledgedInTerm = term;
}

void SoakCaller::readRegister()
{
    if (!this->isPrimaryRoute || this->session == nullptr)
        return;
    std::uint64_t expected = this->lastAcknowledged;
    std::uint64_t expectedInTerm = this->acknowledgedInTerm;
    std::string response = this->execute("READ " + this->getRegister());
    std::size_t row = response.find("ROW ");
    if (!isServed(response) || row == std::string::npos)
        return;
    std::uint64_t seen = std::strtoull(response.c_str() + row + 4, nullptr, 10);
    // Replicas do not confirm writes, so a change of primary may lose writes that were acknowledged before it.
    bool isSameTerm = this->dependencies.findTerm() == expectedInTerm;
    if (isSameTerm && (seen < expected || seen > this->lastAttempted))
        this->history.addViolation("stale: caller " + std::to_string(this->number) + " read " + std::to_string(seen) + " after " + std::to_string(expected) + " was acknowledged in term " + std::to_string(expectedInTerm));
}

void SoakCaller::runPreparedStatement()
{
    // All sessions prepare a statement of the same name, some as a read and some as a write. A response of the
    // other kind shows that the statements of two sessions were mixed up.
    if (this->preparedKind.empty()) {
        std::string kind = this->random.below(2) == 0 ? "READ" : "WRITE";
        if (!contains(this->execute("PREPARE shape " + kind + " 1"), "READY"))
            return;
        this->preparedKind = kind;
    }
    std::string item = this->makeItem("shape");
    bool isWrite = this->preparedKind == "WRITE";
    std::string response = this->execute("EXEC shape " + item + (isWrite ? " v" : ""));
    if (isWrite)
        this->history.recordWrite(item, classifyResponse(response));
    bool hasRow = contains(response, "ROW ");
    if (isServed(response) && hasRow == isWrite)
        this->history.addViolation("mixed: a prepared " + this->preparedKind + " got the response " + response);
}

} // namespace lentiljunction::lab
