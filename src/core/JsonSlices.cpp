#include "lentiljunction/core/JsonSlices.h"

#include "lentiljunction/core/Json.h"

#include <utility>

namespace lentiljunction {

namespace {

    /// Reads the members of one array or object.
    class SliceReader {
    public:
        explicit SliceReader(std::string_view text)
            : text(text)
        {
        }

        /// Skips white space and a character.
        ///
        /// @returns whether the character was there
        bool take(char expected)
        {
            this->skipSpace();
            if (this->position >= this->text.size() || this->text[this->position] != expected)
                return false;
            this->position++;
            return true;
        }

        /// @returns the text after white space, up to its end
        std::string_view getRest()
        {
            this->skipSpace();
            return this->text.substr(this->position);
        }

        bool isAtEnd()
        {
            this->skipSpace();
            return this->position >= this->text.size();
        }

        /// @returns a value up to the comma or bracket after it, or nothing when the text ends within it
        std::optional<std::string_view> takeValue()
        {
            this->skipSpace();
            std::size_t begin = this->position;
            std::size_t depth = 0;
            for (; this->position < this->text.size(); this->position++) {
                char letter = this->text[this->position];
                if (letter == '"' && !this->skipText())
                    return std::nullopt;
                bool isClosing = letter == ']' || letter == '}';
                if (depth == 0 && (letter == ',' || isClosing))
                    return this->trim(begin);
                if (letter == '[' || letter == '{')
                    depth++;
                if (isClosing)
                    depth--;
            }
            return std::nullopt;
        }

        /// @returns a text with its quotation marks, or nothing
        std::optional<std::string_view> takeName()
        {
            this->skipSpace();
            std::size_t begin = this->position;
            if (begin >= this->text.size() || this->text[begin] != '"' || !this->skipText())
                return std::nullopt;
            this->position++;
            return this->text.substr(begin, this->position - begin);
        }

    private:
        static bool isSpace(char letter) { return letter == ' ' || letter == '\t' || letter == '\n' || letter == '\r'; }

        void skipSpace()
        {
            while (this->position < this->text.size() && isSpace(this->text[this->position]))
                this->position++;
        }

        /// Moves from the opening quotation mark of a text to the closing one.
        bool skipText()
        {
            for (this->position++; this->position < this->text.size(); this->position++) {
                char letter = this->text[this->position];
                if (letter == '"')
                    return true;
                if (letter == '\\')
                    this->position++;
            }
            return false;
        }

        std::string_view trim(std::size_t begin) const
        {
            std::size_t end = this->position;
            while (end > begin && isSpace(this->text[end - 1]))
                end--;
            return this->text.substr(begin, end - begin);
        }

        std::string_view text;
        std::size_t position = 0;
    };

} // namespace

JsonPrefix<std::vector<std::string_view>> splitJsonArrayPrefix(std::string_view text)
{
    SliceReader reader(text);
    JsonPrefix<std::vector<std::string_view>> prefix;
    if (!reader.take('['))
        return prefix;
    if (reader.take(']')) {
        prefix.isComplete = reader.isAtEnd();
        return prefix;
    }
    do {
        std::string_view rest = reader.getRest();
        std::optional<std::string_view> element = reader.takeValue();
        prefix.parts.push_back(element.value_or(rest));
        if (!element)
            return prefix;
    } while (reader.take(','));
    prefix.isComplete = reader.take(']') && reader.isAtEnd();
    return prefix;
}

JsonPrefix<std::map<std::string, std::string_view>> splitJsonObjectPrefix(std::string_view text)
{
    SliceReader reader(text);
    JsonPrefix<std::map<std::string, std::string_view>> prefix;
    if (!reader.take('{'))
        return prefix;
    if (reader.take('}')) {
        prefix.isComplete = reader.isAtEnd();
        return prefix;
    }
    do {
        std::optional<std::string_view> quoted = reader.takeName();
        if (!quoted || !reader.take(':'))
            return prefix;
        std::string_view rest = reader.getRest();
        std::optional<std::string_view> value = reader.takeValue();
        std::optional<std::string> name = decodeJsonText(*quoted);
        if (name)
            prefix.parts[*name] = value.value_or(rest);
        if (!value)
            return prefix;
    } while (reader.take(','));
    prefix.isComplete = reader.take('}') && reader.isAtEnd();
    return prefix;
}

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    JsonPrefix<std::vector<std::string_view>> prefix = splitJsonArrayPrefix(text);
    return prefix.isComplete ? std::optional<std::vector<std::string_view>>(std::move(prefix.parts)) : std::nullopt;
}

std::optional<std::map<std::string, std::string_view>> splitJsonObject(std::string_view text)
{
    JsonPrefix<std::map<std::string, std::string_view>> prefix = splitJsonObjectPrefix(text);
    return prefix.isComplete ? std::optional<std::map<std::string, std::string_view>>(std::move(prefix.parts)) : std::nullopt;
}

std::optional<std::string> decodeJsonText(std::string_view quoted)
{
    if (quoted.size() < 2 || quoted.front() != '"' || quoted.back() != '"')
        return std::nullopt;
    nlohmann::json decoded = parseJson(quoted);
    if (decoded.is_string())
        return decoded.get<std::string>();
    std::string_view raw = quoted.substr(1, quoted.size() - 2);
    bool isPlain = raw.find_first_of("\\\"") == std::string_view::npos;
    return isPlain ? std::optional<std::string>(raw) : std::nullopt;
}

} // namespace lentiljunction
