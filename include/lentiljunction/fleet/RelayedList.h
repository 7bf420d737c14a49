#pragma once

#include "lentiljunction/core/Clock.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace lentiljunction {

/// The version of a list that an instance has, and until when it may rely on another instance to tell it of a newer
/// one.
///
/// The version is a hash of the content, so that it is the same at all instances that read the same list.
///
/// Times are on the clock that also runs while the machine is suspended. Not thread-safe.
class RelayedList {
public:
    /// @param lifetime how old another instance's knowledge that the version is current may be
    explicit RelayedList(Duration lifetime)
        : lifetime(lifetime)
    {
    }

    /// Records that the store returned a version to this instance.
    ///
    /// @param requestedAt when the request was sent
    void onListed(std::uint64_t newVersion, BootTime requestedAt)
    {
        this->version = newVersion;
        this->listedAt = requestedAt;
    }

    /// Records which version another instance reported as current.
    ///
    /// @param age time since the store returned that version to it, counted from when the request was sent, because
    ///     the delay of the response is unknown
    /// @returns whether this instance has that version
    bool onReported(std::uint64_t reported, Duration age, BootTime requestedAt)
    {
        if (!this->version || *this->version != reported)
            return false;
        this->reportedAt = std::max<BootTime>(this->reportedAt, requestedAt - age);
        return true;
    }

    /// Records that the list was received from another instance, which reports its age with the next response.
    void onReceived(std::uint64_t newVersion) { this->version = newVersion; }

    /// @returns whether this instance need not ask the store, because another one does
    bool isRelayed(BootTime now) const { return this->reportedAt != BootTime() && now - this->reportedAt < this->lifetime; }

    /// @returns the age of the knowledge that the version is current, or nothing before the first list
    std::optional<Duration> getAge(BootTime now) const
    {
        BootTime newest = std::max(this->listedAt, this->reportedAt);
        return newest == BootTime() ? std::nullopt : std::optional<Duration>(std::chrono::duration_cast<Duration>(now - newest));
    }

    std::uint64_t getVersion() const { return this->version.value_or(0); }

private:
    Duration lifetime;
    std::optional<std::uint64_t> version;
    /// When the store was last asked, by this instance and by one that reports to it; the epoch when it never was.
    BootTime listedAt;
    BootTime reportedAt;
};

} // namespace lentiljunction
