#include "lentiljunction/core/Cbor.h"

#include "lentiljunction/core/Json.h"

#include <cstdint>
#include <vector>

namespace lentiljunction {

namespace {

    /// Major types of RFC 8949, the upper three bits of the first byte of an item.
    enum class MajorType {
        Unsigned,
        Negative,
        Bytes,
        Text,
        Array,
        Map,
        Tag,
        Simple,
    };

    constexpr unsigned indefiniteLength = 31;
    constexpr unsigned longestInlineArgument = 23;
    constexpr unsigned longestSizedArgument = 27;

    /// Walks through a CBOR document without recursion and without decoding it.
    class CborScanner {
    public:
        explicit CborScanner(const std::string& bytes)
            : bytes(bytes)
        {
        }

        /// @returns whether the bytes are one document that is not nested too deeply
        bool isAcceptable()
        {
            this->numMissing.push_back(1);
            while (!this->numMissing.empty()) {
                if (this->numMissing.back() == 0) {
                    this->numMissing.pop_back();
                    continue;
                }
                if (!this->readItem())
                    return false;
            }
            return this->position == this->bytes.size();
        }

    private:
        /// The number of missing items of an array or map without a declared length.
        static constexpr std::uint64_t untilBreak = UINT64_MAX;

        bool readItem()
        {
            if (this->position >= this->bytes.size())
                return false;
            unsigned first = static_cast<unsigned char>(this->bytes[this->position++]);
            MajorType type = static_cast<MajorType>(first >> 5U);
            unsigned info = first & 31U;
            if (type == MajorType::Simple && info == indefiniteLength)
                return this->endIndefinite();
            if (this->numMissing.back() != untilBreak)
                this->numMissing.back()--;
            if (info == indefiniteLength)
                return this->beginIndefinite(type);
            std::uint64_t argument = info;
            if (!this->readArgument(info, argument))
                return false;
            return this->skipContent(type, argument);
        }

        bool readArgument(unsigned info, std::uint64_t& argument)
        {
            if (info <= longestInlineArgument)
                return true;
            if (info > longestSizedArgument)
                return false;
            std::size_t size = std::size_t(1) << (info - longestInlineArgument - 1);
            if (this->bytes.size() - this->position < size)
                return false;
            argument = 0;
            for (std::size_t index = 0; index < size; index++)
                argument = argument << 8U | static_cast<unsigned char>(this->bytes[this->position++]);
            return true;
        }

        bool skipContent(MajorType type, std::uint64_t argument)
        {
            std::uint64_t numRemaining = this->bytes.size() - this->position;
            if (type == MajorType::Bytes || type == MajorType::Text) {
                if (argument > numRemaining)
                    return false;
                this->position += argument;
                return true;
            }
            if (type != MajorType::Array && type != MajorType::Map)
                return type != MajorType::Tag;
            // Each item takes at least one byte.
            if (argument > numRemaining)
                return false;
            return this->beginStructure(type == MajorType::Map ? argument * 2 : argument);
        }

        bool beginIndefinite(MajorType type)
        {
            // A text in chunks is decoded by a function that calls itself, and no encoder of ours makes one.
            return (type == MajorType::Array || type == MajorType::Map) && this->beginStructure(untilBreak);
        }

        bool endIndefinite()
        {
            if (this->numMissing.back() != untilBreak)
                return false;
            this->numMissing.pop_back();
            return true;
        }

        bool beginStructure(std::uint64_t numItems)
        {
            // The document itself takes the first place.
            if (this->numMissing.size() > maximumNesting)
                return false;
            this->numMissing.push_back(numItems);
            return true;
        }

        const std::string& bytes;
        std::size_t position = 0;
        /// The number of items that the document and each open array or map still lacks, outermost first.
        std::vector<std::uint64_t> numMissing;
    };

} // namespace

nlohmann::json parseCbor(const std::string& bytes)
{
    if (!CborScanner(bytes).isAcceptable())
        return nlohmann::json(nlohmann::json::value_t::discarded);
    try {
        return nlohmann::json::from_cbor(bytes, true, false);
    } catch (const nlohmann::json::exception&) {
        return nlohmann::json(nlohmann::json::value_t::discarded);
    }
}

std::string toCbor(const nlohmann::json& document)
{
    std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(document);
    return std::string(bytes.begin(), bytes.end());
}

} // namespace lentiljunction
