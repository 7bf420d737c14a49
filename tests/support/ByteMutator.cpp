#include "ByteMutator.h"

#include <array>
#include <string_view>

namespace lentiljunction::tests {

namespace {

    using namespace std::string_view_literals;

    constexpr std::size_t longestRepeat = 200;

    /// Numbers out of range, other types, nesting, bytes that are not UTF-8, and separators of all formats.
    constexpr std::array<std::string_view, 44> oddPieces {
        "99999999999999999999"sv, "-1"sv, "1e400"sv, "-9223372036854775808"sv, "18446744073709551615"sv, "0.5"sv, "nan"sv, "null"sv, "true"sv, "\"\""sv,
        "[]"sv, "{}"sv, "["sv, "{"sv, "]"sv, "}"sv, "\""sv, "\\"sv, "\\ud800"sv, "\xff\xfe"sv, "\xc3"sv, "\0"sv, "\r\n"sv, "\r"sv, "\n"sv, " "sv, ":"sv, ","sv, "="sv, "."sv, "~"sv, "%"sv,
        "\xf9\x7e\x00"sv, "\xf9\x7c\x00"sv, "\xfb\x7f\xf0\x00\x00\x00\x00\x00\x01"sv, "\x1b\xff\xff\xff\xff\xff\xff\xff\xff"sv, "\x3b\xff\xff\xff\xff\xff\xff\xff\xff"sv, "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff"sv, "\x9f"sv, "\xff"sv, "\xf6"sv, "\x80"sv, "\xa0"sv, "\x60"sv
    };

} // namespace

std::string ByteMutator::mutate(std::string message, const std::string& other)
{
    constexpr std::uint64_t mostChanges = 4;
    for (std::uint64_t count = this->random.below(mostChanges) + 1; count > 0; count--)
        this->change(message, other);
    return message;
}

void ByteMutator::change(std::string& message, const std::string& other)
{
    constexpr std::uint64_t numKinds = 8;
    std::size_t at = this->pick(message);
    std::size_t length = this->random.below(message.size() - at + 1);
    std::string_view odd = oddPieces[this->random.below(oddPieces.size())];
    switch (this->random.below(numKinds)) {
    case 0:
        if (at < message.size())
            message[at] = static_cast<char>(static_cast<unsigned char>(message[at]) ^ (1U << this->random.below(8)));
        return;
    case 1:
        message.resize(at);
        return;
    case 2:
        message.erase(at, length);
        return;
    case 3:
        message.insert(at, odd);
        return;
    case 4:
        message.replace(at, length, odd);
        return;
    case 5:
        for (std::size_t count = this->random.below(longestRepeat); count > 0; count--)
            message.insert(at, odd);
        return;
    case 6:
        message.insert(at, message.substr(at, length));
        return;
    default:
        message = message.substr(0, at) + other.substr(this->pick(other));
    }
}

} // namespace lentiljunction::tests
