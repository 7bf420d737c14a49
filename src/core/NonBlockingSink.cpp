#include "NonBlockingSink.h"

#include "lentiljunction/core/LogEvents.h"

#include <atomic>
#include <fcntl.h>
#include <unistd.h>

namespace lentiljunction {

namespace {

    std::atomic<bool> isLastWriteWithinLine { false };

} // namespace

bool NonBlockingSink::isWithinLine()
{
    return isLastWriteWithinLine;
}

NonBlockingSink::NonBlockingSink(int descriptor)
    : descriptor(descriptor)
{
    int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

bool NonBlockingSink::flushPending()
{
    if (this->pending.empty())
        return true;
    ssize_t written = ::write(this->descriptor, this->pending.data(), this->pending.size());
    if (written > 0) {
        isLastWriteWithinLine = this->pending[static_cast<std::size_t>(written) - 1] != '\n';
        this->pending.erase(0, static_cast<std::size_t>(written));
    }
    return this->pending.empty();
}

void NonBlockingSink::sink_it_(const spdlog::details::log_msg& message)
{
    if (!this->flushPending()) {
        this->numOmitted++;
        return;
    }
    spdlog::memory_buf_t formatted;
    this->formatter_->format(message, formatted);
    if (this->numOmitted > 0)
        this->pending = "event=" + std::to_string(events::linesOmitted.number) + " name=" + events::linesOmitted.name + " of=all lines=" + std::to_string(this->numOmitted) + "\n";
    this->numOmitted = 0;
    this->pending.append(formatted.data(), formatted.size());
    this->flushPending();
}

} // namespace lentiljunction
