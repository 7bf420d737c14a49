#include "FixedText.h"

namespace lentiljunction {

namespace {

    constexpr std::uint64_t secondsPerMinute = 60;
    constexpr std::uint64_t secondsPerHour = 3600;
    constexpr std::uint64_t secondsPerDay = 86400;
    constexpr std::uint64_t decimalBase = 10;
    constexpr std::uint64_t hexadecimalBase = 16;
    constexpr std::size_t maximumDigits = 20;

    bool isLeapYear(std::uint64_t year)
    {
        return (year % 4 == 0 && year % 100 != 0) || year % 400 == 0;
    }

    std::uint64_t countDaysOfMonth(std::uint64_t year, std::size_t month)
    {
        constexpr std::array<std::uint64_t, 12> days { 31, 28, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31 };
        return month == 1 && isLeapYear(year) ? days[month] + 1 : days[month];
    }

} // namespace

FixedText& FixedText::append(char character)
{
    if (this->size < capacity)
        this->characters[this->size++] = character;
    return *this;
}

FixedText& FixedText::append(const char* text)
{
    for (; *text != '\0'; text++)
        this->append(*text);
    return *this;
}

FixedText& FixedText::appendNumber(std::uint64_t number, int minimumDigits)
{
    std::array<char, maximumDigits> digits {};
    int count = 0;
    for (; number > 0 || count < minimumDigits; number /= decimalBase)
        digits[static_cast<std::size_t>(count++)] = static_cast<char>('0' + number % decimalBase);
    while (count > 0)
        this->append(digits[static_cast<std::size_t>(--count)]);
    return *this;
}

FixedText& FixedText::appendHexadecimal(std::uint64_t number)
{
    constexpr const char* digits = "0123456789abcdef";
    std::uint64_t divisor = 1;
    while (number / divisor >= hexadecimalBase)
        divisor *= hexadecimalBase;
    for (this->append("0x"); divisor > 0; divisor /= hexadecimalBase)
        this->append(digits[number / divisor % hexadecimalBase]);
    return *this;
}

FixedText& FixedText::appendQuoted(const char* text)
{
    this->append('"');
    for (std::size_t count = 0; *text != '\0' && count < maximumQuotedSize; text++, count++) {
        bool isControl = static_cast<unsigned char>(*text) < ' ';
        this->append(isControl ? ' ' : *text == '"' ? '\''
                                                    : *text);
    }
    return this->append('"');
}

FixedText& FixedText::appendTime(std::uint64_t secondsSinceEpoch, std::uint64_t microseconds)
{
    std::uint64_t days = secondsSinceEpoch / secondsPerDay;
    std::uint64_t year = 1970;
    for (; days >= (isLeapYear(year) ? 366U : 365U); year++)
        days -= isLeapYear(year) ? 366U : 365U;
    std::size_t month = 0;
    for (; days >= countDaysOfMonth(year, month); month++)
        days -= countDaysOfMonth(year, month);
    std::uint64_t seconds = secondsSinceEpoch % secondsPerDay;
    this->appendNumber(year, 4).append('-').appendNumber(month + 1, 2).append('-').appendNumber(days + 1, 2).append('T');
    this->appendNumber(seconds / secondsPerHour, 2).append(':').appendNumber(seconds % secondsPerHour / secondsPerMinute, 2);
    return this->append(':').appendNumber(seconds % secondsPerMinute, 2).append('.').appendNumber(microseconds, 6).append('Z');
}

} // namespace lentiljunction
