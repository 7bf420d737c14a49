#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace lentiljunction {

/// A short text in a buffer of fixed size. Text beyond the capacity is cut off.
///
/// Allocates nothing and calls no library function, so signal handlers may use it.
class FixedText {
public:
    FixedText& append(const char* text);
    FixedText& append(char character);
    FixedText& appendNumber(std::uint64_t number, int minimumDigits = 1);
    FixedText& appendHexadecimal(std::uint64_t number);

    /// Appends at most 1200 characters of `text` in quotes. Quotes become apostrophes, control characters spaces.
    FixedText& appendQuoted(const char* text);

    /// Appends a time in UTC as YYYY-MM-DDTHH:MM:SS.ffffffZ.
    FixedText& appendTime(std::uint64_t secondsSinceEpoch, std::uint64_t microseconds);

    const char* getData() const { return this->characters.data(); }
    std::size_t getSize() const { return this->size; }

private:
    static constexpr std::size_t capacity = 2048;
    static constexpr std::size_t maximumQuotedSize = 1200;

    std::array<char, capacity> characters {};
    std::size_t size = 0;
};

} // namespace lentiljunction
