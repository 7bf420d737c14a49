#include "SoakCaller.h"

#include <utility>

namespace lentiljunction::lab {

namespace {

    /// Several times the time that routes give a statement. An answer that takes longer was held.
    constexpr std::chrono::seconds answerPatience { 10 };
    /// Of a hundred draws.
    constexpr std::uint64_t outOf = 100;
    constexpr std::uint64_t newSessionBelow = 8;

    SoakRecord::Told classify(const std::string& answer)
    {
        if (isServed(answer))
            return SoakRecord::Told::Acknowledged;
        bool isUnknown = answer.empty() || answer.find("READY") == std::string::npos || contains(answer, "INDOUBT") || contains(answer, "TIMEOUT");
        return isUnknown ? SoakRecord::Told::Unknown : SoakRecord::Told::Refused;
    }

} // namespace

SoakCaller::SoakCaller(int number, std::uint64_t seed, Site site, SoakRecord& record)
    : number(number)
    , random(seed * 1000 + static_cast<std::uint64_t>(number))
    , site(std::move(site))
    , record(record)
{
}

void SoakCaller::step()
{
    this->numSteps++;
    if (this->session == nullptr || this->random.below(outOf) < newSessionBelow)
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
        return this->usePrepared();
    }
}

void SoakCaller::openSession()
{
    this->isPrimaryRoute = this->random.below(2) == 0;
    int port = this->site.ports[this->random.below(this->site.ports.size())];
    this->session = std::make_unique<LineCaller>(static_cast<std::uint16_t>(port), this->isPrimaryRoute ? "bookings" : "checks", answerPatience);
    this->preparedKind.clear();
    if (!contains(this->session->getStartupResponse(), "READY"))
        this->session.reset();
}

std::string SoakCaller::execute(const std::string& text)
{
    if (this->session == nullptr)
        return "";
    std::string answer = this->session->execute(text);
    if (this->session->hasTimedOut())
        this->record.addViolation("silent: no answer to \"" + text + "\" of caller " + std::to_string(this->number));
    // A session whose answer did not come, or in a state that is not known, is of no further use.
    if (answer.find("READY") == std::string::npos)
        this->session.reset();
    return answer;
}

void SoakCaller::writeOnce()
{
    std::string item = this->makeItem("once");
    this->record.noteWrite(item, classify(this->execute("WRITE " + item + " v")));
}

void SoakCaller::writeTransaction()
{
    if (!contains(this->execute("BEGIN"), "READY T"))
        return;
    std::string first = this->makeItem("tx");
    std::string second = this->makeItem("tx");
    bool isWritten = isServed(this->execute("WRITE " + first + " v")) && isServed(this->execute("WRITE " + second + " v"));
    if (!isWritten) {
        // A transaction that broke before its commit is not kept.
        this->execute("ROLLBACK");
        this->record.noteWrite(first, SoakRecord::Told::Refused);
        this->record.noteWrite(second, SoakRecord::Told::Refused);
        return;
    }
    SoakRecord::Told told = classify(this->execute("COMMIT"));
    this->record.noteWrite(first, told);
    this->record.noteWrite(second, told);
}

void SoakCaller::writeRegister()
{
    std::uint64_t term = this->site.findTerm();
    std::uint64_t value = ++this->lastTried;
    SoakRecord::Told told = classify(this->execute("WRITE " + this->getRegister() + " " + std::to_string(value)));
    if (told == SoakRecord::Told::Unknown) {
        // It may still take effect after a later write, so that register tells nothing any more.
        this->registerNumber++;
        this->lastAcknowledged = 0;
    }
    if (told != SoakRecord::Told::Acknowledged)
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
    std::string answer = this->execute("READ " + this->getRegister());
    std::size_t row = answer.find("ROW ");
    if (!isServed(answer) || row == std::string::npos)
        return;
    std::uint64_t seen = std::strtoull(answer.c_str() + row + 4, nullptr, 10);
    // Replicas confirm nothing, so a change of primary may lose what was acknowledged before it.
    bool isSameTerm = this->site.findTerm() == expectedInTerm;
    if (isSameTerm && (seen < expected || seen > this->lastTried))
        this->record.addViolation("stale: caller " + std::to_string(this->number) + " read " + std::to_string(seen) + " after " + std::to_string(expected) + " was acknowledged in term " + std::to_string(expectedInTerm));
}

void SoakCaller::usePrepared()
{
    // Every session uses one name for a read or for a write; a mix-up of sessions shows in the answer.
    if (this->preparedKind.empty()) {
        std::string kind = this->random.below(2) == 0 ? "READ" : "WRITE";
        if (!contains(this->execute("PREPARE shape " + kind + " 1"), "READY"))
            return;
        this->preparedKind = kind;
    }
    std::string item = this->makeItem("shape");
    bool isWriting = this->preparedKind == "WRITE";
    std::string answer = this->execute("EXEC shape " + item + (isWriting ? " v" : ""));
    if (isWriting)
        this->record.noteWrite(item, classify(answer));
    bool hasRow = contains(answer, "ROW ");
    if (isServed(answer) && hasRow == isWriting)
        this->record.addViolation("mixed: a prepared " + this->preparedKind + " was answered with " + answer);
}

} // namespace lentiljunction::lab
