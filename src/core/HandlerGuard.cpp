#include "lentiljunction/core/HandlerGuard.h"

#include "lentiljunction/core/LogEvents.h"

#include <atomic>
#include <cxxabi.h>
#include <exception>
#include <string>
#include <typeinfo>

namespace lentiljunction {

namespace {

    std::atomic<std::uint64_t> numFailures { 0 };

    std::string describeCurrentException()
    {
        const std::type_info* type = abi::__cxa_current_exception_type();
        std::string name = type != nullptr ? type->name() : "none";
        try {
            throw;
        } catch (const std::exception& error) {
            return " type=" + name + " what=\"" + error.what() + "\"";
        } catch (...) {
            return " type=" + name;
        }
    }

} // namespace

std::uint64_t HandlerGuard::getNumFailures() noexcept
{
    return numFailures;
}

void HandlerGuard::report(const char* place) noexcept
{
    numFailures++;
    try {
        logEvent(events::handlerFailed, std::string("place=") + place + describeCurrentException());
    } catch (...) { // NOLINT(bugprone-empty-catch): without memory for the line, the failure is still counted
    }
}

} // namespace lentiljunction
